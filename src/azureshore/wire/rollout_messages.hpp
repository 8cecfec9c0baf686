#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace azureshore::wire {

// What was counted of the responses of one version on one route.
struct version_counts {
    std::uint64_t responses = 0;
    std::uint64_t failures = 0;
    // Responses by time, in the buckets of rollout::bucket_of. Without those of cold servers.
    std::vector<std::uint64_t> times;

    bool operator==(const version_counts&) const = default;
};

// The counts of a route, which is named by a hash.
struct route_counts {
    std::uint64_t route = 0;
    version_counts target;
    version_counts other;

    bool operator==(const route_counts&) const = default;
};

struct rollout_evidence {
    service_id service;
    std::string new_version;
    std::vector<route_counts> routes;

    bool operator==(const rollout_evidence&) const = default;
};

// Sent to the parent in the broadcast tree while a roll-out runs: what the sender and the daemons
// below it counted since their last reports.
struct rollout_report {
    std::vector<rollout_evidence> evidence;

    bool operator==(const rollout_report&) const = default;
};

// The order matters: the state of a roll-out with the higher phase is later.
enum class rollout_phase : std::uint8_t {
    // Ordered; what the store holds of its state is not known.
    unknown,
    running,
    // All requests go to the target version, which is to be recorded as completed.
    moving,
    completed,
    // No requests go to the target version.
    rolled_back,
};

struct rollout_status {
    service_id service;
    std::string new_version;
    rollout_phase phase = rollout_phase::unknown;
    // Whether the store holds this phase as the state of the roll-out.
    bool stored = false;
    // How long ago the order was given.
    duration age{};

    bool operator==(const rollout_status&) const = default;
};

// What the daemon that decides has decided. Each receiver forwards it along the broadcast trees.
struct rollout_notice {
    std::vector<rollout_status> rollouts;
    // Random; each daemon handles and forwards the message once.
    std::uint64_t broadcast_id = 0;

    bool operator==(const rollout_notice&) const = default;
};

} // namespace azureshore::wire
