#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace azureshore::membership {

// Failure detection and gossip settings. All VMs should use the same values.
struct member_options {
    // The first incarnation number of this run. It may be lower than that of an earlier run, but
    // a restarted VM then needs one more round trip to be seen as live. The wall clock in
    // milliseconds at the start is a value that grows with each run.
    std::uint64_t incarnation = 1;
    // Time between two probes.
    duration probe_period = std::chrono::milliseconds(500);
    // Time without an answer after which other VMs are asked to relay the probe.
    duration probe_timeout = std::chrono::milliseconds(150);
    // Number of VMs that are asked to relay a probe.
    std::size_t relay_count = 3;
    // Number of successors on the hash ring that a VM probes in turn.
    std::size_t successor_count = 3;
    // Largest number of rumours in one heartbeat.
    std::size_t max_rumours_per_heartbeat = 12;
    // A suspicion lasts this many probe periods, plus one more for each doubling of the number of
    // members.
    std::size_t suspicion_periods = 2;
    // Number of probe periods between two probes of dead VMs that the platform still lists.
    std::size_t dead_probe_interval_periods = 4;
    // How long the record of a dead VM is kept after the platform stops listing it.
    duration dead_retention = std::chrono::minutes(10);
};

} // namespace azureshore::membership
