#pragma once

#include "azureshore/core/time.hpp"

#include <cstddef>

namespace azureshore::sharing {

// How long the daemon that ranks next after the reader waits for a news message before it reads the
// store itself, as a fraction of sharing_settings::apply_within.
inline constexpr double takeover_fraction = 0.5;
// How much longer each further daemon in rank order waits than the one before it, as a fraction of
// sharing_settings::apply_within.
inline constexpr double takeover_step_fraction = 0.025;
// Daemons ranked before this read the store when the ones before them do not. Those ranked after it
// ask other daemons first.
inline constexpr std::size_t standby_reader_count = 4;
// Delay before a failed call to the store is retried.
inline constexpr duration store_retry_delay = std::chrono::milliseconds(250);
// Of the daemons that have no special task in an outage, about this many call the store in each
// round of retries, however many there are.
inline constexpr double random_reader_count = 6;

// Ages in messages are limited to this, so that a malformed one can't overflow a time.
inline constexpr duration max_age = std::chrono::hours(1);

inline duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace azureshore::sharing
