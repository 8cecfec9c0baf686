#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>

namespace azureshore::sharing {

// Parts of the bound: the silence after which the next daemon in order reads, and how much later
// each one after it does.
inline constexpr double takeover_part = 0.5;
inline constexpr double step_part = 0.05;
inline constexpr std::size_t most_steps = 5;
// Daemons before this place list the topics at their start.
inline constexpr std::size_t listing_ranks = 2;
// Pause after a read that failed.
inline constexpr duration retry_pause = std::chrono::milliseconds(250);

inline duration part_of(duration bound, double part)
{
    return std::chrono::duration_cast<duration>(bound * part);
}

} // namespace azureshore::sharing
