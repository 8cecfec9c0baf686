#pragma once

#include "azureshore/quota/quota.hpp"
#include "support/virtual_clock.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test {

// Keepers of several gateways in virtual time, with a network that loses and delays datagrams.
class quota_simulation {
public:
    quota_simulation(std::size_t gateways, std::uint64_t seed,
                     std::vector<balance::client_account> accounts);

    // Starts a gateway that knows all gateways.
    void start(std::size_t gateway);
    void kill(std::size_t gateway);
    // Delays all that the gateway does until a time.
    void pause(std::size_t gateway, duration span);
    // Sets which gateways a gateway takes for serving, and the share of those that it is in contact
    // with.
    void set_view(std::size_t gateway, const std::set<std::size_t>& serving);
    void set_contact(std::size_t gateway, double share);

    // Makes one request at a gateway now. It is sent as soon as it is granted.
    void request(std::size_t gateway, const account_id& account);

    // Makes requests at random gateways as a Poisson process until a time. If `within_quota`, those
    // are left out that would exceed an ideal bucket of the account, which is empty at first.
    void load(const account_id& account, double rate, time_point until, bool within_quota);

    // Returns the most sends in any window in relation to the bound, and how often requests were
    // decided in each way. Requests that were made before a time are left out of the latter.
    [[nodiscard]] double worst_window(const account_id& account) const;

    struct decisions {
        std::size_t granted = 0;
        std::size_t exceeded = 0;
        std::size_t unavailable = 0;
        duration longest_wait{};
    };
    std::map<account_id, decisions> decided;

    [[nodiscard]] quota::quota_counts total_counts() const;
    [[nodiscard]] bool is_alive(std::size_t gateway) const;

    virtual_clock clock;
    random_source random;
    double loss = 0;
    // The share of datagrams that are delayed, by up to two seconds.
    double delayed = 0;
    // Gateways in different groups don't hear from each other.
    std::vector<int> group;

private:
    struct node {
        std::unique_ptr<quota::quota_keeper> keeper;
        std::uint64_t incarnation = 0;
        time_point paused_until{};
        std::set<std::size_t> view;
    };

    [[nodiscard]] const balance::client_account& find(const account_id& account) const;
    void run_at(std::size_t gateway, std::uint64_t incarnation,
                const std::function<void()>& action);
    void transmit(std::size_t from, const vm_id& to, const wire::message& body);
    void next_request(const account_id& account, double rate, time_point until, bool within_quota,
                      double level, time_point last);

    std::vector<balance::client_account> accounts;
    std::vector<node> nodes;
    std::map<account_id, std::vector<time_point>> sends;
};

} // namespace azureshore::test
