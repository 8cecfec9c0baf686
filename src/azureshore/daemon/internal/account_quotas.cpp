#include "azureshore/daemon/internal/account_quotas.hpp"

#include "azureshore/observe/metrics.hpp"

#include <asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace azureshore::daemon::detail {

namespace {

// Daemons that keep the quota of one account: while one of them fails, the other one grants half.
constexpr std::size_t owners_of_account = 2;
// Changes of the daemons in contact by less than this share are not logged.
constexpr double logged_contact_change = 0.1;

quota::quota_bounds bounds_of(const settings::gateway_settings& settings)
{
    return {settings.quota_window, settings.quota_overshoot, settings.quota_slack};
}

} // namespace

account_quotas::account_quotas(asio::io_context& context,
                               const settings::gateway_settings& settings,
                               account_quota_hooks owner_hooks)
    : executor(context), hooks(std::move(owner_hooks)),
      has_other_seeds(
          std::any_of(settings.seeds.begin(), settings.seeds.end(),
                      [&](const auto& each) { return each.host != settings.peers.host; })),
      kept(settings.name, bounds_of(settings), this->quota_hooks()), contact_timer(context)
{
}

quota::quota_hooks account_quotas::quota_hooks()
{
    quota::quota_hooks made;
    made.clock = steady_now;
    made.after = [this](duration delay, std::function<void()> work) {
        if (delay <= duration{}) {
            asio::post(this->executor, std::move(work));
            return;
        }
        auto later = std::make_shared<asio::steady_timer>(this->executor, delay);
        later->async_wait([later, work = std::move(work)](const asio::error_code& error) {
            if (!error) {
                work();
            }
        });
    };
    made.send = this->hooks.send;
    made.random = this->random;
    return made;
}

void account_quotas::set_bounds(const settings::gateway_settings& settings)
{
    this->kept.set_bounds(bounds_of(settings));
}

void account_quotas::configure(const balance::traffic_configuration& configuration)
{
    this->kept.set_accounts(configuration.listed_accounts());
    this->log_owned();
}

void account_quotas::members_changed(const sharing::members& daemons)
{
    const auto now = steady_now();
    std::vector<vm_id> serving;
    std::vector<vm_id> leaving;
    for (const auto& each : daemons.others()) {
        (each.state == wire::member_state::leaving ? leaving : serving).push_back(each.name);
    }
    this->contact.set_members(now, serving, daemons.gone(), leaving);
    const bool first = std::exchange(this->known, &daemons) == nullptr;
    // It stays so when all others leave, or are gone for so long that they are forgotten.
    this->owners_known = this->owners_known || !this->has_other_seeds ||
                         daemons.confirmed_alone() || !daemons.others().empty() ||
                         !daemons.gone().empty();
    this->kept.set_owners([this](const account_id& account) { return this->owners_of(account); });
    if (std::exchange(this->incarnation, daemons.self().incarnation) !=
            daemons.self().incarnation &&
        !first) {
        this->kept.declared_gone();
        this->hooks.log({"quotas_start_over", {{"why", "declared_gone"}}});
    }
    this->log_owned();
    if (first) {
        this->watch_contact();
    }
}

// A daemon that has just started and has not heard of the others can't tell who owns a quota.
std::vector<vm_id> account_quotas::owners_of(const account_id& account) const
{
    if (!this->owners_known) {
        return {};
    }
    return this->known->first_of("quota " + account.value, owners_of_account);
}

void account_quotas::watch_contact()
{
    const auto now = steady_now();
    if (this->kept.owned_count() > 0) {
        for (const auto& each : this->contact.next_pings(now, this->random)) {
            this->hooks.send(each.to, wire::quota_ping{each.number, false});
        }
    }
    const auto share = this->contact.share(now);
    if (share != this->contact_share) {
        if (std::abs(share - this->contact_share) >= logged_contact_change) {
            this->hooks.log({"quota_contact", {{"share", std::to_string(share)}}});
        }
        this->contact_share = share;
        this->kept.set_contact(share);
    }
    this->contact_timer.expires_after(quota::contact_tracker::ping_interval);
    this->contact_timer.async_wait([this](const asio::error_code& error) {
        if (!error) {
            this->watch_contact();
        }
    });
}

void account_quotas::take(const account_id& account,
                          std::function<void(const balance::quota_answer&)> done)
{
    this->kept.take(account, std::move(done));
}

void account_quotas::give_back(const account_id& account, time_point granted_at)
{
    this->kept.give_back(account, granted_at);
}

void account_quotas::receive(const wire::envelope& message)
{
    if (const auto* ping = std::get_if<wire::quota_ping>(&message.body)) {
        if (ping->is_answer) {
            this->contact.answered(steady_now(), ping->number);
        }
        else if (this->known != nullptr && this->known->contains(message.from)) {
            // A daemon that others take for gone, though it is not, must find out that it is not an
            // owner to them.
            this->hooks.send(message.from, wire::quota_ping{ping->number, true});
        }
        return;
    }
    this->kept.receive(message);
}

// One line for all accounts, as there may be many.
void account_quotas::log_owned()
{
    const auto owned = this->kept.owned_count();
    if (owned != std::exchange(this->logged_owned, owned)) {
        this->hooks.log({"quotas_owned", {{"accounts", std::to_string(owned)}}});
    }
}

std::string account_quotas::metrics() const
{
    const auto& counts = this->kept.counts();
    observe::metrics made;
    const auto decided = [&made](const std::string& decision, std::uint64_t count) {
        made.add("azureshore_quota_requests_total", {{"decision", decision}}, count);
    };
    decided("granted", counts.granted);
    decided("exceeded", counts.exceeded);
    decided("unavailable", counts.unavailable);
    made.add("azureshore_quota_queries_total", {}, counts.queries_sent);
    made.add("azureshore_quota_replies_total", {}, counts.replies_sent);
    made.add("azureshore_quota_timeouts_total", {}, counts.timeouts);
    made.add("azureshore_quota_tokens_issued_total", {}, counts.tokens_issued);
    made.add("azureshore_quota_tokens_expired_total", {}, counts.tokens_expired);
    made.add("azureshore_quota_pauses_total", {}, counts.pauses);
    made.set("azureshore_quota_owned_accounts", {}, static_cast<double>(this->kept.owned_count()));
    made.set("azureshore_quota_contact_share", {}, this->contact_share);
    return made.to_text();
}

} // namespace azureshore::daemon::detail
