#pragma once

#include "azureshore/quota/quota.hpp"

#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace azureshore::quota::detail {

using quota_done = std::function<void(const balance::quota_answer&)>;

struct holder_hooks {
    std::function<time_point()> clock;
    std::function<void(duration, std::function<void()>)> after;
    // Asks an owner, which may be this daemon itself.
    std::function<void(const vm_id&, const wire::quota_ask&)> ask;
    random_source random;
};

// The tokens that this daemon holds, and the requests that wait for tokens.
class holder {
public:
    holder(vm_id self, holder_hooks hooks);

    // Sets how long tokens can be used.
    void set_lease(duration lease);

    // Adds an account with a limit, or leaves it as it is.
    void add(const account_id& account);
    void remove(const account_id& account);
    void set_owners(const account_id& account, const std::vector<vm_id>& owners);

    void take(const account_id& account, quota_done done);
    void give_back(const account_id& account, time_point granted_at);
    void receive(const vm_id& from, const wire::quota_grant& grant);

    // The counts of this role; the others are zero.
    [[nodiscard]] const quota_counts& counts() const { return this->counted; }

private:
    struct token_group {
        std::uint64_t count = 0;
        time_point expires;
    };
    struct spent_token {
        time_point granted_at;
        time_point expires;
    };
    struct owner_view {
        vm_id name;
        // Until when it refuses, as it said.
        time_point refuses_until{};
        // Until when it is not asked, since it did not answer or does not own the account.
        time_point silent_until{};
        std::size_t timeouts = 0;
    };
    struct open_ask {
        std::uint64_t ticket = 0;
        vm_id owner;
        time_point asked_at;
    };
    struct account_state {
        std::vector<owner_view> owners;
        std::deque<token_group> tokens;
        std::deque<spent_token> spent;
        std::deque<quota_done> waiting;
        // Asks whose answers may still bring tokens.
        std::deque<open_ask> asks;
        // The ask for whose answer the waiting requests wait.
        std::optional<open_ask> current;
        // An exponentially decaying count of requests, per second.
        double demand = 0;
        time_point demand_at{};
    };

    void count_demand(time_point now, account_state& of) const;
    // Takes a token. Returns when it expires, or nothing if there is none.
    std::optional<time_point> take_token(time_point now, account_state& from);
    void serve_waiting(account_state& of);
    // Asks an owner for the requests that wait, or refuses them if none can be asked.
    void pursue(const account_id& account, account_state& of);
    owner_view* choose_owner(time_point now, account_state& of);
    void timed_out(const account_id& account, std::uint64_t ticket);
    [[nodiscard]] balance::quota_answer refusal(time_point now, const account_state& of) const;
    void refuse_waiting(account_state& of);
    void answer(const quota_done& done, const balance::quota_answer& with);
    void expire(time_point now, account_state& of);

    vm_id self;
    holder_hooks hooks;
    duration lease{};
    std::unordered_map<account_id, account_state> accounts;
    std::uint64_t last_ticket = 0;
    quota_counts counted;
};

} // namespace azureshore::quota::detail
