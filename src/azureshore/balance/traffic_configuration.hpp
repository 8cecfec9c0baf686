#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::balance {

// A service that takes a share of a route's requests, in proportion to its weight.
struct weighted_service {
    service_id service;
    double weight = 1;

    bool operator==(const weighted_service&) const = default;
};

// The services that get the requests of a host and path prefix, and the rules for these requests.
struct route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string path_prefix;
    // Whether a request may be run more than once.
    bool idempotent = false;
    // Never empty.
    std::vector<weighted_service> services;
    // The time after which a caller gets a final answer in any case.
    duration timeout{};
    // The response time to aim for; later answers are worth less to the caller.
    duration target_latency{};
    // Zero is the most urgent.
    std::uint32_t priority = 0;
    // Maximum number of backend servers that one request is sent to.
    std::uint32_t max_attempts = 1;
    // Whether requests need no key of a client account.
    bool authentication_exempt = false;

    bool operator==(const route&) const = default;
};

// Properties common to all backend servers of a service.
struct service_traits {
    service_id name;
    std::string health_path;
    // Connections that one backend server accepts from all callers together.
    std::uint32_t max_connections = 0;
    // How long a backend server is cold after its start, and the requests per second that it can
    // handle during that time.
    duration cold_period{};
    double cold_rate = 0;

    bool operator==(const service_traits&) const = default;
};

// A client account: who may send requests, and how many.
struct client_account {
    account_id name;
    // A request that carries one of these keys belongs to the account.
    std::vector<std::string> keys;
    // Takes precedence over the priority of a route.
    std::optional<std::uint32_t> priority;
    // The quota over all daemons: requests per second, and how many more at once. A rate of zero
    // means that there is no limit.
    double rate = 0;
    double burst = 0;
    // Why the account could not be read whole; empty if it was. Its requests are refused, as their
    // limits are not known.
    std::string defect{};

    bool operator==(const client_account&) const = default;
};

// Limits on the size and duration of callers' requests.
struct caller_limits {
    std::size_t max_header_bytes = 16UL * 1024UL;
    std::size_t max_body_bytes = 1024UL * 1024UL;
    duration header_timeout = std::chrono::seconds(5);
    duration idle_timeout = std::chrono::seconds(15);

    bool operator==(const caller_limits&) const = default;
};

// One version of the operators' traffic configuration.
struct traffic_configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service_traits> services;
    // Without a list, requests need no key. With one, each request needs the key of a listed
    // account, unless its route is exempt; no key is accepted if the list is empty.
    std::optional<std::vector<client_account>> accounts;
    caller_limits limits;

    // Returns the route of the host with the longest matching path prefix, or null if none matches.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    [[nodiscard]] const service_traits* find_service(const service_id& name) const;

    // Returns the accounts of the list; none without a list.
    [[nodiscard]] const std::vector<client_account>& listed_accounts() const;
};

} // namespace azureshore::balance
