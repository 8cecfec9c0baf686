#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>

namespace azureshore::outcomes {

// How keyed requests of one service use the platform's log. Must be equal on all VMs.
struct run_once_limits {
    // Appends per second of this service, over all VMs.
    double appends_per_second = 300;
    // The number of streams that keys are partitioned over. A different number uses different
    // streams, so change it only after a key lifetime without keyed requests.
    std::uint32_t partitions = 1;
    // Whether one VM per stream appends the entries of all VMs, or each VM its own entries within
    // its share of the rate.
    bool group_on_one_vm = true;
    std::size_t max_record_bytes = 64UL * 1024UL;
    // In bytes. Larger answers are not kept for callers that send their request again.
    std::size_t max_stored_answer = 4UL * 1024UL;
    // Memory for kept answers on one VM; the oldest answers are dropped first.
    std::size_t max_answers_bytes = 64UL * 1024UL * 1024UL;
    // The largest number of keys kept on one VM; when it is reached, new keyed requests are
    // refused.
    std::size_t max_keys = 1'000'000;
    // How long the log keeps a record. Keys live at most half as long.
    duration retention = std::chrono::hours(24);
    // How long a read may wait for a record; well below `stale_after`.
    std::chrono::milliseconds read_wait = std::chrono::milliseconds(500);
    // Keyed requests are refused when no read succeeded for this long.
    duration stale_after = std::chrono::seconds(2);
    // Keyed requests are refused while an entry has not been read back for this long.
    duration slow_after = std::chrono::milliseconds(400);
    // An entry that is not read back is appended again after this time, which then doubles.
    duration append_retry_interval = std::chrono::milliseconds(150);
    // The time between the probe appends that are made while appends fail.
    duration append_probe_interval = std::chrono::milliseconds(500);

    bool operator==(const run_once_limits&) const = default;
};

} // namespace azureshore::outcomes
