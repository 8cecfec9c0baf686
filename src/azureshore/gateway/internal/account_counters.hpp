#pragma once

#include "azureshore/balance/dispatch_types.hpp"
#include "azureshore/balance/traffic_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace azureshore::gateway::detail {

// Counts requests by client account and outcome, for the metrics page.
class account_counters {
public:
    // Accounts with series of their own. Requests of further accounts are counted together, so that
    // the page stays small.
    static constexpr std::size_t max_accounts = 1000;
    // The label of further accounts; no account can have this name, as it contains a space.
    static constexpr std::string_view other_accounts = "other accounts";

    // Takes the accounts of the configuration in force.
    void configure(const balance::traffic_configuration& in_force);

    void ended(const balance::completed_request& request);

    // Appends all series in Prometheus' text format.
    void write(std::string& out) const;

private:
    struct quota {
        double rate = 0;
        double burst = 0;
    };

    // Without a value, requests need no key.
    std::optional<std::size_t> listed;
    std::map<std::string, quota> quotas;
    std::map<std::string, std::map<std::string_view, std::uint64_t>> counts;
};

} // namespace azureshore::gateway::detail
