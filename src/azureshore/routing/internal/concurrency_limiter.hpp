#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/wire/permit_messages.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace azureshore::routing::detail {

// The configured limits of concurrent requests on a backend server: `slots` while it is warm, and
// `cold` while it is cold.
struct concurrency_limits {
    unsigned slots = 2;
    unsigned cold = 1;

    bool operator==(const concurrency_limits&) const = default;
};

// The outcome of one request that ran on a permit.
struct request_outcome {
    wire::usage result = wire::usage::unused;
    time_point granted_at;
    duration latency{};
    instance_id instance;
    std::optional<wire::load_report> load;
};

// Adapts the concurrency limit of one backend server to the outcomes of its requests. The backend
// server counts as cold until successful requests have raised the limit to its slots and
// confirmed it there. It turns cold again when requests fail, become slow or show a restart.
class concurrency_limiter {
public:
    explicit concurrency_limiter(concurrency_limits limits);

    void set_limits(time_point now, concurrency_limits limits);

    // Records the outcome of one request. `median_latency` is the pool's median, zero if unknown.
    // Returns the reason if this outcome turned the backend server cold, and null otherwise.
    const char* record(time_point now, const request_outcome& outcome, duration median_latency);

    // Adopts a limit reported by another VM, unless this leader has observations of its own. It
    // takes effect once the first request has succeeded on the same instance.
    void adopt_reported_limit(unsigned reported, const instance_id& instance);

    // Discards the reported limit because some VM reports a failure.
    void discard_reported_limit();

    void turn_cold(time_point now);

    // Records the result of a probe; an unhealthy result increases the backoff.
    void record_probe(time_point now, bool healthy);

    // Returns the number of requests that the backend server may run at once, not counting overlap
    // permits (see `allows_overlap`).
    [[nodiscard]] unsigned limit() const { return this->current_limit; }
    [[nodiscard]] bool warm() const { return this->is_warm; }
    // Returns the limit that applies if the reported limit is confirmed.
    [[nodiscard]] unsigned expected_limit() const
    {
        return std::max(this->current_limit, this->reported_limit);
    }
    // Whether permits beyond the limit may be granted for requests that wait for the next slot.
    [[nodiscard]] bool allows_overlap(time_point now) const;
    // Whether there is a reported limit that no request has confirmed yet. Until one does, only one
    // request may run at a time.
    [[nodiscard]] bool has_unconfirmed_limit() const { return this->reported_limit > 0; }
    // Whether any outcome has been recorded.
    [[nodiscard]] bool has_observations() const { return this->observed; }
    // No permits are granted before this time.
    [[nodiscard]] time_point held_until() const { return this->backoff_until; }
    // Returns the exponential backoff after consecutive failures while cold.
    [[nodiscard]] duration backoff() const { return this->failure_backoff; }
    [[nodiscard]] const instance_id& instance() const { return this->known_instance; }

private:
    const char* update_limit(time_point now, const request_outcome& outcome,
                             duration median_latency);
    void record_cold_success(time_point now, const request_outcome& outcome, bool quick);
    void record_cold_failure(time_point now);

    concurrency_limits limits;
    unsigned current_limit;
    bool is_warm = false;
    unsigned reported_limit = 0;
    bool observed = false;
    instance_id known_instance;
    time_point cold_since;
    time_point limit_changed_at;
    time_point overlap_allowed_from;
    time_point backoff_until;
    duration failure_backoff{};
    unsigned successes = 0;
    unsigned quick_successes = 0;
    unsigned successes_needed;
    unsigned consecutive_failures = 0;
    // One bit for each recent request; the lowest bit is the newest request.
    std::uint32_t failure_history = 0;
    std::uint32_t slow_history = 0;
};

} // namespace azureshore::routing::detail
