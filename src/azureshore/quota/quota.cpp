#include "azureshore/quota/quota.hpp"

#include "azureshore/quota/internal/holder.hpp"
#include "azureshore/quota/internal/owner.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

namespace azureshore::quota {

namespace {

// How often the process notes that it runs.
constexpr duration tick_interval = std::chrono::milliseconds(500);
// The daemons that start together know each other after this time.
constexpr duration start_settle_time = std::chrono::seconds(1);

} // namespace

class quota_keeper::state : public std::enable_shared_from_this<state> {
public:
    state(vm_id own_name, const quota_bounds& own_bounds, quota_hooks owner_hooks)
        : self(std::move(own_name)), bounds(own_bounds), hooks(std::move(owner_hooks)),
          held(this->self, this->holder_hooks())
    {
        this->held.set_lease(detail::token_lease(this->bounds));
    }

    void tick()
    {
        this->owned.tick(this->hooks.clock());
        this->run_after(tick_interval, [](state& keeper) { keeper.tick(); });
    }

    void set_bounds(const quota_bounds& next)
    {
        this->bounds = next;
        this->held.set_lease(detail::token_lease(next));
        this->own_all(this->hooks.clock());
    }

    void set_accounts(const std::vector<balance::client_account>& next)
    {
        const auto now = this->hooks.clock();
        std::map<account_id, limit> limits;
        for (const auto& each : next) {
            limits[each.name] = {each.rate, each.burst};
        }
        for (const auto& [account, each] : this->accounts) {
            const auto kept = limits.find(account);
            if (kept == limits.end() || kept->second.rate <= 0) {
                this->owned.disown(account);
                this->held.remove(account);
            }
        }
        this->accounts = std::move(limits);
        // Nobody else has owned a new account.
        this->own_all(std::max(now, this->settled_at));
    }

    void set_owners(std::function<std::vector<vm_id>(const account_id&)> next)
    {
        const auto now = this->hooks.clock();
        if (!this->owners_of) {
            this->settled_at = now + start_settle_time;
        }
        this->owners_of = std::move(next);
        this->own_all(now < this->settled_at ? this->settled_at : now + detail::settle_time);
    }

    void declared_gone() { this->owned.start_over(this->hooks.clock()); }

    void set_contact(double share) { this->owned.set_contact(this->hooks.clock(), share); }

    void take(const account_id& account, detail::quota_done done)
    {
        const auto found = this->accounts.find(account);
        if (found != this->accounts.end() && found->second.rate <= 0) {
            done({balance::quota_decision::granted, std::nullopt, std::nullopt});
            return;
        }
        this->held.take(account, std::move(done));
    }

    void receive(const wire::envelope& received)
    {
        if (const auto* query = std::get_if<wire::quota_query>(&received.body)) {
            wire::quota_reply reply;
            for (const auto& each : query->asks) {
                reply.grants.push_back(this->owned.answer(this->hooks.clock(), each));
            }
            ++this->replies_sent;
            this->hooks.send(received.from, reply);
        }
        else if (const auto* reply = std::get_if<wire::quota_reply>(&received.body)) {
            for (const auto& each : reply->grants) {
                this->held.receive(received.from, each);
            }
        }
    }

    [[nodiscard]] const quota_counts& counts()
    {
        this->reported = this->held.counts();
        this->reported.queries_sent = this->queries_sent;
        this->reported.replies_sent = this->replies_sent;
        this->reported.tokens_issued = this->owned.tokens_issued();
        this->reported.pauses = this->owned.pauses();
        return this->reported;
    }

    [[nodiscard]] std::size_t owned_count() const { return this->owned.owned_count(); }

    void give_back(const account_id& account, time_point granted_at)
    {
        this->held.give_back(account, granted_at);
    }

private:
    struct limit {
        double rate = 0;
        double burst = 0;
    };

    detail::holder_hooks holder_hooks()
    {
        detail::holder_hooks made;
        made.clock = this->hooks.clock;
        made.after = [this](duration delay, std::function<void()> work) {
            this->run_after(delay, [work = std::move(work)](state&) { work(); });
        };
        made.ask = [this](const vm_id& owner, const wire::quota_ask& ask) {
            if (owner == this->self) {
                this->held.receive(owner, this->owned.answer(this->hooks.clock(), ask));
                return;
            }
            this->outgoing[owner].asks.push_back(ask);
            if (!std::exchange(this->flush_scheduled, true)) {
                this->run_after(duration{}, [](state& keeper) { keeper.flush(); });
            }
        };
        made.random = this->hooks.random;
        return made;
    }

    void run_after(duration delay, std::function<void(state&)> action)
    {
        this->hooks.after(delay, [weak = this->weak_from_this(), action = std::move(action)] {
            if (const auto keeper = weak.lock()) {
                action(*keeper);
            }
        });
    }

    // The asks that arise at one time are sent together.
    void flush()
    {
        this->flush_scheduled = false;
        for (const auto& [owner, query] : std::exchange(this->outgoing, {})) {
            ++this->queries_sent;
            this->hooks.send(owner, query);
        }
    }

    // Applies the limits and the owners; buckets of accounts that were not owned fill from a time.
    void own_all(time_point fills_from)
    {
        const auto now = this->hooks.clock();
        for (const auto& [account, each] : this->accounts) {
            if (each.rate <= 0) {
                continue;
            }
            this->held.add(account);
            const auto owners = this->owners_of ? this->owners_of(account) : std::vector<vm_id>{};
            this->held.set_owners(account, owners);
            if (std::find(owners.begin(), owners.end(), this->self) == owners.end()) {
                this->owned.disown(account);
                continue;
            }
            const auto share = 1.0 / static_cast<double>(owners.size());
            this->owned.own(now, account,
                            detail::size_of_bucket(this->bounds, each.rate, each.burst, share),
                            fills_from);
        }
    }

    vm_id self;
    quota_bounds bounds;
    quota_hooks hooks;
    std::map<account_id, limit> accounts;
    std::function<std::vector<vm_id>(const account_id&)> owners_of;
    time_point settled_at{};
    detail::owner owned;
    detail::holder held;
    std::map<vm_id, wire::quota_query> outgoing;
    bool flush_scheduled = false;
    std::uint64_t queries_sent = 0;
    std::uint64_t replies_sent = 0;
    quota_counts reported;
};

quota_keeper::quota_keeper(vm_id self, const quota_bounds& bounds, quota_hooks hooks)
    : inner(std::make_shared<state>(std::move(self), bounds, std::move(hooks)))
{
    this->inner->tick();
}

quota_keeper::~quota_keeper() = default;

void quota_keeper::set_bounds(const quota_bounds& bounds)
{
    this->inner->set_bounds(bounds);
}

void quota_keeper::set_accounts(const std::vector<balance::client_account>& accounts)
{
    this->inner->set_accounts(accounts);
}

void quota_keeper::set_owners(std::function<std::vector<vm_id>(const account_id&)> owners_of)
{
    this->inner->set_owners(std::move(owners_of));
}

void quota_keeper::declared_gone()
{
    this->inner->declared_gone();
}

void quota_keeper::set_contact(double share)
{
    this->inner->set_contact(share);
}

void quota_keeper::take(const account_id& account,
                        std::function<void(const balance::quota_answer&)> done)
{
    this->inner->take(account, std::move(done));
}

void quota_keeper::give_back(const account_id& account, time_point granted_at)
{
    this->inner->give_back(account, granted_at);
}

void quota_keeper::receive(const wire::envelope& received)
{
    this->inner->receive(received);
}

std::size_t quota_keeper::owned_count() const
{
    return this->inner->owned_count();
}

const quota_counts& quota_keeper::counts() const
{
    return this->inner->counts();
}

} // namespace azureshore::quota
