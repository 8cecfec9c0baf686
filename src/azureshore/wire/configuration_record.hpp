#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azureshore::wire {

// Says that a branch such as a service exists, also when it overrides nothing.
struct branch_mark {
    bool operator==(const branch_mark&) const = default;
};

// The value of one key of the tree, or the mark of a branch.
using setting_value = std::variant<branch_mark, bool, std::int64_t, double, std::string>;

// The names from the root of the tree down to a key.
using setting_path = std::vector<std::string>;

// One key of the tree with its value.
struct setting {
    setting_path path;
    setting_value value;

    bool operator==(const setting&) const = default;
};

// A wish to set one key, or to remove it when there is no value.
struct setting_edit {
    setting_path path;
    std::optional<setting_value> value;

    bool operator==(const setting_edit&) const = default;
};

// A change as its author appends it to the log.
struct configuration_change {
    // Unique for each change; a retry after a lost acknowledgement carries the same one.
    std::string id;
    std::string author;
    std::chrono::sys_seconds made_at;
    // The revision of the tree that the author saw.
    std::uint64_t base = 0;
    std::vector<setting_edit> edits;

    bool operator==(const configuration_change&) const = default;
};

// What an accepted change did to one key.
struct setting_step {
    setting_path path;
    std::optional<setting_value> before;
    std::optional<setting_value> after;

    bool operator==(const setting_step&) const = default;
};

// A change that the fold accepted.
struct accepted_change {
    std::string id;
    std::string author;
    std::chrono::sys_seconds made_at;
    // The revision that this change made.
    std::uint64_t revision = 0;
    std::vector<setting_step> steps;

    bool operator==(const accepted_change&) const = default;
};

// The whole state after all records below one offset; equal on every VM for the same offset.
struct configuration_snapshot {
    // The first offset that is not folded into this state.
    std::uint64_t next_offset = 0;
    std::uint64_t revision = 0;
    // Changes made against a revision below this one are refused: their conflicts are forgotten.
    std::uint64_t oldest_base = 0;
    std::vector<setting> settings;
    std::vector<accepted_change> recent;
    // Ids of the last changes that were refused; a copy that comes later stays refused.
    std::vector<std::string> refused;

    bool operator==(const configuration_snapshot&) const = default;
};

// What a record of the configuration stream holds. The place in this list is the kind's number.
using record_body = std::variant<configuration_change, configuration_snapshot>;

// Version of the encoding; a record of a newer one is skipped by every VM.
constexpr std::uint8_t record_format = 1;

// Largest record in bytes; a larger one is skipped by every VM.
constexpr std::size_t max_record_bytes = 768UL * 1024UL;

// The record as bytes.
std::string encode_record(const record_body& body);

// Reads what `encode_record` wrote; fails with failure::record_malformed, record_from_future or
// record_oversized.
absl::StatusOr<record_body> decode_record(std::string_view bytes);

} // namespace azureshore::wire
