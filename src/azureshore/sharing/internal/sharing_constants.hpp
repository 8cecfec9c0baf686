#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>

namespace azureshore::sharing {

// How long the daemon that ranks next after the reader waits for a news message before it reads the
// store itself, as a fraction of sharing_settings::apply_within.
inline constexpr double takeover_fraction = 0.5;
// How much longer each further daemon in rank order waits than the one before it, as a fraction of
// sharing_settings::apply_within.
inline constexpr double takeover_step_fraction = 0.05;
// The number of such steps after which the wait no longer grows with the rank.
inline constexpr std::size_t max_takeover_steps = 5;
// Daemons ranked before this list the topics when they start; the others ask these for a snapshot.
inline constexpr std::size_t listing_daemon_count = 2;
// Delay before a failed call to the store is retried.
inline constexpr duration store_retry_delay = std::chrono::milliseconds(250);

inline duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace azureshore::sharing
