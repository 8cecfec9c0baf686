#pragma once

#include "azureshore/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::wire {

// One record of the configuration stream, as the log has it. A record that changes nothing, such
// as a snapshot, is passed on with no bytes.
struct configuration_record {
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const configuration_record&) const = default;
};

// Records passed on from one VM to another; receivers take what is new to them.
struct configuration_records {
    std::vector<configuration_record> records;

    bool operator==(const configuration_records&) const = default;
};

// Asks a peer for all that it has from an offset on.
struct configuration_pull {
    std::uint64_t from = 0;

    bool operator==(const configuration_pull&) const = default;
};

// The whole state, for a peer that lacks more than the sender keeps as records.
struct configuration_state {
    // A snapshot record.
    std::string snapshot;

    bool operator==(const configuration_state&) const = default;
};

// Tells a peer how far the sender has folded the stream.
struct configuration_notice {
    std::uint64_t next_offset = 0;
    // The log's last snapshot holds all below this offset.
    std::uint64_t snapshot_covers = 0;
    // Time since the log last got a snapshot, as far as the sender knows.
    std::optional<duration> snapshot_age;

    bool operator==(const configuration_notice&) const = default;
};

} // namespace azureshore::wire
