#include "azureshore/daemon/internal/account_quotas.hpp"

#include "azureshore/observe/metrics.hpp"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace azureshore::daemon::detail {

namespace {

// Daemons that keep the quota of one account: while one of them fails, the other one grants half.
constexpr std::size_t owners_of_account = 2;

quota::quota_bounds bounds_of(const settings::gateway_settings& settings)
{
    return {settings.quota_window, settings.quota_overshoot, settings.quota_slack};
}

} // namespace

account_quotas::account_quotas(asio::io_context& context,
                               const settings::gateway_settings& settings,
                               account_quota_hooks owner_hooks)
    : executor(context), hooks(std::move(owner_hooks)),
      kept(settings.name, bounds_of(settings), this->quota_hooks())
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
    made.random = system_random();
    return made;
}

void account_quotas::set_bounds(const settings::gateway_settings& settings)
{
    this->kept.set_bounds(bounds_of(settings));
}

void account_quotas::configure(const balance::traffic_configuration& configuration)
{
    this->kept.set_accounts(configuration.accounts);
    this->log_owned();
}

void account_quotas::members_changed(const sharing::members& known)
{
    this->kept.set_owners([&known](const account_id& account) {
        return known.first_of("quota " + account.value, owners_of_account);
    });
    this->log_owned();
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
    return made.to_text();
}

} // namespace azureshore::daemon::detail
