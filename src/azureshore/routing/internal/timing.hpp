#pragma once

#include "azureshore/core/time.hpp"

#include <cstdint>

namespace azureshore::routing::detail {

// Time from a grant within which the holder may start its request or renew the permit.
inline constexpr duration permit_lease = std::chrono::milliseconds(300);

// Time that a leader adds to a lease before it marks the permit as lapsed.
inline constexpr duration lease_margin = std::chrono::milliseconds(10);

// How often a VM renews permits that it still holds with the leader.
inline constexpr duration renewal_interval = std::chrono::milliseconds(100);

// How long a VM that supports a leader supports no other leader.
inline constexpr duration support_duration = std::chrono::milliseconds(250);

// How often a leader that needs support sends claims.
inline constexpr duration claim_interval = std::chrono::milliseconds(80);

// How long a new leader waits for the VMs' reports before it starts to grant permits.
inline constexpr duration report_wait_time = std::chrono::milliseconds(50);

// A permit request is repeated after this time without a message from the leader.
inline constexpr duration request_retry_interval = std::chrono::milliseconds(50);

// The next candidate is asked after this time without a message from the leader.
inline constexpr duration leader_timeout = std::chrono::milliseconds(120);

// How long a VM that did not answer, or does not lead, is skipped as leader.
inline constexpr duration suspicion_duration = std::chrono::seconds(2);

// After a longer gap between ticks this VM assumes that it was paused itself, and does not blame
// the leader for the silence.
inline constexpr duration pause_threshold = std::chrono::milliseconds(40);

// Interval between ticks while a router has work in progress.
inline constexpr duration tick_interval = std::chrono::milliseconds(5);

// How long the return of an uncontended permit may wait to be batched with the next request.
inline constexpr duration max_return_delay = std::chrono::milliseconds(2);

// A new leader ignores reports about a backend server that are older than this.
inline constexpr duration max_observation_age = std::chrono::seconds(5);

// A leader that is not first in the order and gets no requests gives up the pool after this time.
inline constexpr duration idle_leader_timeout = std::chrono::seconds(10);

// A VM that is not the first candidate claims support only this long after a request.
inline constexpr duration recent_request_time = 2 * request_retry_interval;

// A leader without requests stops claiming support for its cold backend servers after this time.
inline constexpr duration claim_idle_timeout = std::chrono::seconds(2);

} // namespace azureshore::routing::detail
