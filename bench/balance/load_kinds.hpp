#pragma once

#include "azureshore/balance/traffic_configuration.hpp"

#include <string>
#include <vector>

namespace azureshore::bench {

// One kind of request of a deployment.
struct load_kind {
    std::string name;
    bool idempotent = false;
    // Share of the deployment's requests, in any unit.
    double rate = 0;
    duration work{};
    duration target{};
    duration caller_timeout{};
    duration route_timeout{};
    double worth_in_time = 0;
    double worth_late = 0;
    std::uint32_t priority = 0;
};

struct load_deployment {
    std::string name;
    std::size_t gateways = 0;
    std::size_t servers = 0;
    std::vector<load_kind> kinds;

    // Requests per second that the servers bear at full speed.
    [[nodiscard]] double capacity() const;
};

inline constexpr std::size_t server_slots = 6;
// Slots of a server that can be busy before it slows down.
inline constexpr std::size_t fast_slots = 4;

load_deployment planning();
load_deployment scooters();

// Returns the configuration of one service that all kinds of the deployment share.
balance::traffic_configuration configuration_of(const load_deployment& deployment);

// What became of the requests of one kind.
struct kind_result {
    std::size_t requests = 0;
    std::size_t in_time = 0;
    std::size_t late = 0;
};

} // namespace azureshore::bench
