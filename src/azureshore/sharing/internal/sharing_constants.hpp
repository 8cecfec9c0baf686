#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>

namespace azureshore::sharing {

// Fractions of sharing_settings::apply_within: how long the first daemon in rank order after the
// reader waits for news before it reads the store itself, and how much longer each one after it
// waits.
inline constexpr double takeover_fraction = 0.5;
inline constexpr double takeover_step_fraction = 0.05;
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
