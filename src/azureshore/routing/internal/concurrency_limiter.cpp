#include "azureshore/routing/internal/concurrency_limiter.hpp"

#include <algorithm>
#include <bit>
#include <utility>

namespace azureshore::routing::detail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A response is slow if its latency exceeds the pool's median by this factor.
constexpr int slow_factor = 8;

// Number of slow responses among the recent ones that turn a backend server cold.
constexpr int slow_limit = 5;
constexpr std::uint32_t slow_mask = 0x3F;

// Number of failures, consecutive or among the recent requests, that turn a backend server cold.
constexpr unsigned consecutive_failure_limit = 2;
constexpr int failure_limit = 3;
constexpr std::uint32_t failure_mask = 0xFF;

// Number of successes required before the limit rises, initially and at most.
constexpr unsigned initial_successes_needed = 16;
constexpr unsigned max_successes_needed = 64;

// A response is quick if its latency is within this factor of the pool's median.
constexpr int quick_factor = 2;

// The limit rises only if at least this share of the successes was quick, because a backend server
// that is still cold may cope with its load but is slower than the others.
constexpr double min_quick_share = 0.6;

// Minimum time at one limit, so that a short burst of quick responses does not raise it.
constexpr duration min_time_per_limit = milliseconds(400);

// After a refusal or failure, no overlap permits are granted for this time.
constexpr duration overlap_pause = seconds(1);

constexpr duration initial_backoff = milliseconds(50);
constexpr duration max_backoff = seconds(10);

bool is_failure(wire::usage result)
{
    return result == wire::usage::refused || result == wire::usage::failed;
}

} // namespace

concurrency_limiter::concurrency_limiter(concurrency_limits settings)
    : limits(settings), current_limit(std::min(settings.cold, settings.slots)),
      successes_needed(initial_successes_needed)
{
}

void concurrency_limiter::set_limits(time_point now, concurrency_limits settings)
{
    if (settings == this->limits) {
        return;
    }
    const bool was_warm = this->warm();
    this->limits = settings;
    const auto min_limit = std::min(settings.cold, settings.slots);
    this->current_limit = std::clamp(this->current_limit, min_limit, settings.slots);
    this->is_warm = was_warm && this->current_limit == settings.slots;
    this->limit_changed_at = now;
}

void concurrency_limiter::adopt_reported_limit(unsigned reported, const instance_id& instance)
{
    if (!this->observed && reported > 0) {
        this->reported_limit = std::min(reported, this->limits.slots);
        this->known_instance = instance;
    }
}

void concurrency_limiter::discard_reported_limit()
{
    this->reported_limit = 0;
}

void concurrency_limiter::turn_cold(time_point now)
{
    this->observed = true;
    this->reported_limit = 0;
    this->is_warm = false;
    this->current_limit = std::min(this->limits.cold, this->limits.slots);
    this->cold_since = now;
    this->limit_changed_at = now;
    this->successes = 0;
    this->quick_successes = 0;
    this->failure_history = 0;
    this->slow_history = 0;
}

bool concurrency_limiter::allows_overlap(time_point now) const
{
    return this->warm() && now >= this->overlap_allowed_from;
}

const char* concurrency_limiter::record(time_point now, const request_outcome& outcome,
                                        duration median_latency)
{
    if (outcome.result == wire::usage::unused || outcome.result == wire::usage::cancelled) {
        return nullptr;
    }
    this->observed = true;
    if (!outcome.instance.empty() && outcome.instance != this->known_instance) {
        const bool restarted = !this->known_instance.empty();
        this->known_instance = outcome.instance;
        if (restarted) {
            this->turn_cold(now);
            return "restarted";
        }
    }
    return this->update_limit(now, outcome, median_latency);
}

const char* concurrency_limiter::update_limit(time_point now, const request_outcome& outcome,
                                              duration median_latency)
{
    const bool failed = is_failure(outcome.result);
    const bool slow =
        median_latency > duration::zero() && outcome.latency > median_latency * slow_factor;
    this->failure_history = (this->failure_history << 1U) | (failed ? 1U : 0U);
    this->slow_history = (this->slow_history << 1U) | (slow ? 1U : 0U);
    this->consecutive_failures = failed ? this->consecutive_failures + 1 : 0;
    const auto confirmed = std::exchange(this->reported_limit, 0);
    if (!failed && confirmed > 0) {
        this->current_limit = std::max(this->current_limit, confirmed);
        this->is_warm = this->current_limit == this->limits.slots;
        return nullptr;
    }
    if (failed) {
        this->overlap_allowed_from = now + overlap_pause;
    }
    if (!this->warm()) {
        if (failed && outcome.granted_at >= this->cold_since) {
            this->record_cold_failure(now);
        }
        if (!failed && !slow && outcome.granted_at >= this->cold_since) {
            this->record_cold_success(now, outcome,
                                      median_latency == duration::zero() ||
                                          outcome.latency <= median_latency * quick_factor);
        }
        return nullptr;
    }
    const bool failing = this->consecutive_failures >= consecutive_failure_limit ||
                         std::popcount(this->failure_history & failure_mask) >= failure_limit;
    const bool slowing = std::popcount(this->slow_history & slow_mask) >= slow_limit;
    if (!failing && !slowing) {
        return nullptr;
    }
    this->turn_cold(now);
    return failing ? "failing" : "slow";
}

void concurrency_limiter::record_cold_success(time_point now, const request_outcome& outcome,
                                              bool quick)
{
    this->failure_backoff = duration::zero();
    ++this->successes;
    this->quick_successes += quick ? 1 : 0;
    const bool server_allows_no_more = outcome.load && outcome.load->slots > 0 &&
                                       outcome.load->slots <= this->current_limit &&
                                       outcome.load->slots < this->limits.slots;
    if (this->successes < this->successes_needed ||
        now - this->limit_changed_at < min_time_per_limit || server_allows_no_more) {
        return;
    }
    const bool mostly_quick = this->quick_successes >= min_quick_share * this->successes;
    this->successes = 0;
    this->quick_successes = 0;
    if (!mostly_quick) {
        return;
    }
    this->limit_changed_at = now;
    if (this->current_limit < this->limits.slots) {
        ++this->current_limit;
        return;
    }
    this->is_warm = true;
    this->successes_needed = initial_successes_needed;
}

void concurrency_limiter::record_cold_failure(time_point now)
{
    this->turn_cold(now);
    this->successes_needed = std::min(this->successes_needed * 2, max_successes_needed);
    this->failure_backoff =
        this->failure_backoff == duration::zero() ? initial_backoff : this->failure_backoff * 2;
    this->failure_backoff = std::min(this->failure_backoff, max_backoff);
    this->backoff_until = now + this->failure_backoff;
}

void concurrency_limiter::record_probe(time_point now, bool healthy)
{
    if (!healthy) {
        this->record_cold_failure(now);
    }
}

} // namespace azureshore::routing::detail
