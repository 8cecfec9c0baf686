#pragma once

#include "azureshore/balance/dispatch_types.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace azureshore::quota {

// How far the requests of an account may exceed its quota in any window, over all daemons: at most
// (rate x window + burst) x (1 + overshoot) + slack.
struct quota_bounds {
    duration window = std::chrono::seconds(5);
    double overshoot = 0.1;
    double slack = 20;

    bool operator==(const quota_bounds&) const = default;
};

struct quota_hooks {
    std::function<time_point()> clock;
    // Runs an action after a delay, on the same thread.
    std::function<void(duration, std::function<void()>)> after;
    // Sends a message to another daemon. The message may be lost, and the daemon may be gone.
    std::function<void(const vm_id&, const wire::message&)> send;
    random_source random;
};

// Counters since the start, for the metrics.
struct quota_counts {
    // Requests by the decision on them. Those of accounts without a limit are not counted.
    std::uint64_t granted = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t unavailable = 0;
    // Datagrams sent to ask owners, and as an owner to answer.
    std::uint64_t queries_sent = 0;
    std::uint64_t replies_sent = 0;
    // Asks that got no answer in time.
    std::uint64_t timeouts = 0;
    // Tokens that this daemon granted as an owner, and tokens that it received and did not use.
    std::uint64_t tokens_issued = 0;
    std::uint64_t tokens_expired = 0;
    // Times at which this daemon's buckets were emptied, since it had not run for a while.
    std::uint64_t pauses = 0;
};

// Keeps the quotas of client accounts together with the keepers of the other daemons.
//
// Each account has up to two owners. Each owner has a bucket of tokens with an equal part of the
// account's rate and burst. Every daemon asks the owners for tokens, one for each request. A token
// expires soon after it was asked for, by the clock of the daemon that asked, so that it can't be
// used long after the owner took it from its bucket. A bucket starts empty. The argument why the
// bound holds is in docs/design/quota.md.
//
// All calls must come from one thread.
class quota_keeper {
public:
    quota_keeper(vm_id self, const quota_bounds& bounds, quota_hooks hooks);
    ~quota_keeper();
    quota_keeper(const quota_keeper&) = delete;
    quota_keeper& operator=(const quota_keeper&) = delete;
    quota_keeper(quota_keeper&&) = delete;
    quota_keeper& operator=(quota_keeper&&) = delete;

    void set_bounds(const quota_bounds& bounds);

    // Replaces the accounts and their limits.
    void set_accounts(const std::vector<balance::client_account>& accounts);

    // Sets the function that returns the daemons that own an account's quota, in any order, or none
    // if they aren't known yet. To be called after each change of the daemons.
    void set_owners(std::function<std::vector<vm_id>(const account_id&)> owners_of);

    // To be called when other daemons have declared this one gone. They may have replaced it, so
    // its buckets are emptied and start to fill after a while.
    void declared_gone();

    // Sets the share, from 0 to 1, of all daemons of the deployment that this one is in contact
    // with. The buckets that it owns are filled at this share of their rate.
    void set_contact(double share);

    // Asks for one request. `done` is called exactly once, either at once or within 300 ms, unless
    // the keeper is destroyed before.
    void take(const account_id& account, std::function<void(const balance::quota_answer&)> done);

    // Returns what was granted at a time for a request that was not sent. It is used for another
    // request if it has not expired.
    void give_back(const account_id& account, time_point granted_at);

    // Handles a message of another daemon's keeper; ignores other messages.
    void receive(const wire::envelope& received);

    // Returns the number of accounts of whose quota this daemon is an owner.
    [[nodiscard]] std::size_t owned_count() const;

    [[nodiscard]] const quota_counts& counts() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::quota
