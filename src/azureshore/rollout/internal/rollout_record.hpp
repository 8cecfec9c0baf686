#pragma once

#include "azureshore/rollout/rollout.hpp"

namespace azureshore::rollout::detail {

// What one daemon knows of one roll-out.
struct rollout_record {
    order given;
    // When the order was given, as far as known.
    time_point given_at;
    // When this daemon got it, and whether it may have been given long before.
    time_point known_at;
    bool may_be_old = false;
    wire::rollout_phase phase = wire::rollout_phase::unknown;
    // Whether the store holds the phase.
    bool stored = false;
    // When a notice of the daemon that decides last came, or was sent by this one.
    std::optional<time_point> noticed_at;
    std::optional<traffic> directed;

    // Counted since the last report; of this daemon alone since the last tick, and in total.
    std::vector<wire::route_counts> unreported;
    std::vector<wire::route_counts> own_counts;
    wire::version_counts target_total;
    wire::version_counts other_total;
    comparison own_evidence;
    std::optional<time_point> own_finding_at;

    // Of the daemon that decides.
    comparison evidence;
    std::optional<time_point> moving_since;
    std::optional<time_point> settled_at;
    bool writing = false;

    // When this daemon lists the states in the store itself, as no notice came.
    std::optional<time_point> list_at;
    duration list_delay{};

    [[nodiscard]] bool is_final() const
    {
        return this->phase == wire::rollout_phase::rolled_back ||
               this->phase == wire::rollout_phase::completed;
    }
};

// When a roll-out is decided, counted from its order.
struct schedule {
    // All requests may be moved from the first time on, and have to be before the second one, so
    // that the state is written by the deadline.
    duration earliest_move{};
    duration latest_move{};
};
schedule schedule_of(const order& given, const settings& bounds);

// How long all requests have been at the target version before the old servers may stop.
duration settling_time(const settings& bounds);

enum class choice : std::uint8_t { wait, move, roll_back };

struct reasoned_choice {
    choice made = choice::wait;
    // For the log.
    std::string_view cause;
};

// Decides a roll-out that runs or is moving.
reasoned_choice choose(const rollout_record& record, const service_counts& servers, duration age,
                       const settings& bounds);

} // namespace azureshore::rollout::detail
