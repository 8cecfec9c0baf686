#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/platform/log.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::platform {

// A record of a topic of which the platform keeps the newest for each key.
struct keyed_record {
    std::uint64_t offset = 0;
    std::string key;
    // Nothing when the key was dropped.
    std::optional<std::string> value;

    bool operator==(const keyed_record&) const = default;
};

// The epoch of a store that has never been restored from a backup.
inline constexpr std::uint64_t first_epoch = 1;

// The newest record of every key.
struct keyed_list {
    bool ok = false;
    // Rises by one each time the store is restored from a backup; zero if the store does not tell.
    // Each restore may lose records, whose offsets are then reused, so offsets can only be compared
    // within an epoch.
    std::uint64_t epoch = 0;
    std::vector<keyed_record> records;
    // From where to read on so that no record is missed.
    std::uint64_t next_offset = 0;
};

struct keyed_read {
    // `expired` also when the requested offset is beyond the end, as after a restore.
    read_outcome outcome = read_outcome::unavailable;
    std::uint64_t epoch = 0;
    std::uint64_t next_offset = 0;
    // The end of the topic. It is greater than next_offset if the answer holds only a part of the
    // records, as the store limits the size of its answers.
    std::uint64_t end_offset = 0;
    std::vector<keyed_record> records;
};

// One topic of the platform's log. Each `done` is called once, not from within.
struct keyed_topic {
    std::function<void(std::function<void(keyed_list)> done)> list;
    std::function<void(std::uint64_t from, std::chrono::milliseconds wait,
                       std::function<void(keyed_read)> done)>
        read;
};

} // namespace azureshore::platform
