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
// The reader's long poll of the operators' topic ends after this fraction of apply_within. The
// store does not always wake a waiting read, and a connection may have gone silent.
inline constexpr double operators_poll_fraction = 0.5;
// Daemons that are asked for what this one has missed.
inline constexpr std::size_t pulled_daemons = 3;
// The time between two lists of the announced daemons by the reader, which finds those that lost
// contact with all others, and shows those that start that it lives.
inline constexpr duration members_list_interval = std::chrono::seconds(3);
// Delay before a failed call to the store is retried.
inline constexpr duration store_retry_delay = std::chrono::milliseconds(250);
// Of the daemons that start and hear only from others that know nothing either, about this many
// call the store in each round of retries, however many there are.
inline constexpr double starting_caller_count = 6;
// While none of the daemons that answer each other has read the store lately, all of them together
// call it about this often within sharing_settings::apply_within. If the store serves only one
// daemon in ten, the chance that none of these is among 88 callers is one in 10,000; the rest of
// the time is for passing on what was read.
inline constexpr double search_calls_per_bound = 98;

// Ages in messages are limited to this, so that a malformed one can't overflow a time.
inline constexpr duration max_age = std::chrono::hours(1);

// The mean result of state::jittered(), as a multiple of the given delay.
inline constexpr double mean_jitter = 1.25;

inline duration fraction_of(duration whole, double fraction)
{
    return std::chrono::duration_cast<duration>(whole * fraction);
}

} // namespace azureshore::sharing
