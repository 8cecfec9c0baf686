#pragma once

#include "azureshore/core/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace azureshore::platform {

// One record of a stream of the platform's append-only log.
struct log_record {
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const log_record&) const = default;
};

// How an append ended. After `unknown` the record may be there or may yet appear.
enum class append_outcome { accepted, refused, unknown };

struct append_result {
    append_outcome outcome = append_outcome::unknown;
    // The record's place in its stream, when accepted.
    std::uint64_t offset = 0;
};

// How a read ended. After `expired` the first offsets asked for are past retention.
enum class read_outcome { ok, expired, unavailable };

struct read_result {
    read_outcome outcome = read_outcome::unavailable;
    // The oldest offset that the log still keeps.
    std::uint64_t first_offset = 0;
    // The offset that the next appended record will have, as far as this read knows.
    std::uint64_t next_offset = 0;
    std::vector<log_record> records;
};

using append_function = std::function<void(const std::string& stream, std::string bytes,
                                           std::function<void(append_result)> done)>;

// Reads records from an offset on; waits up to `wait` for the first when there is none.
using read_function =
    std::function<void(const std::string& stream, std::uint64_t from,
                       std::chrono::milliseconds wait, std::function<void(read_result)> done)>;

// The platform's log as decision code sees it: an adapter or a fake behind two hooks.
struct log_hooks {
    append_function append;
    read_function read;
};

} // namespace azureshore::platform
