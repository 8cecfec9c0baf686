#pragma once

#include "azureshore/configuration/replica.hpp"

#include <cstdint>
#include <optional>

namespace azureshore::configuration::detail {

// Decides when this VM appends a snapshot. Every VM runs one; the random wait makes mostly one of
// them append, and it does no harm when several do.
class snapshot_timer {
public:
    explicit snapshot_timer(const replica_settings& rules) : settings(rules) {}

    // The log holds a snapshot of all below the offset `covers`, since `when` if that is known.
    void seen(std::optional<time_point> when, std::uint64_t covers);

    // The log no longer keeps records below this offset.
    void log_starts_at(std::uint64_t offset) { this->log_first = offset; }

    // Whether a snapshot is to be appended now.
    bool due(time_point now, std::uint64_t folded, const random_source& random);

    // An append of a snapshot has begun.
    void begun(time_point now, std::uint64_t append_id, std::uint64_t next_offset);

    void ended(time_point now, std::uint64_t append_id, bool accepted);

    // When `due` is next worth asking.
    [[nodiscard]] time_point next(time_point now) const;

    // The log's last snapshot holds all below this offset.
    [[nodiscard]] std::uint64_t covers() const { return this->covered; }

    // Time since the log last got a snapshot; nothing when that is not known.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    [[nodiscard]] bool needed(time_point now, std::uint64_t folded) const;

    const replica_settings& settings;
    std::optional<time_point> last;
    std::uint64_t covered = 0;
    std::uint64_t log_first = 0;
    // When this VM's turn comes, once a snapshot is needed.
    std::optional<time_point> turn;
    // The append under way.
    std::uint64_t append = 0;
    std::uint64_t append_covers = 0;
    time_point retry_at = time_point::min();
};

} // namespace azureshore::configuration::detail
