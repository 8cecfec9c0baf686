#include "azureshore/routing/internal/backend_selector.hpp"

#include <algorithm>
#include <cmath>

namespace azureshore::routing::detail {

namespace {

// Reciprocal of the weight of one sample in the exponential moving averages.
constexpr int average_weight_divisor = 128;

// Relative step of the running median.
constexpr double median_step = 0.02;

// Permits are scarce when no more than 1/4 of the pool's total limit is free.
constexpr unsigned scarce_divisor = 4;

// Keeps the weight of a permit that was just granted finite.
constexpr double min_age_ms = 2;

bool contains(const std::vector<backend_id>& names, const backend_id& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

duration update_average(duration average, duration sample)
{
    return average == duration::zero() ? sample
                                       : average + (sample - average) / average_weight_divisor;
}

// Returns a score for how likely one of the running requests is to complete soon. Service times
// have a heavy tail, so a request that has run for long will probably keep running.
double completion_likelihood(time_point now, const backend_entry& backend)
{
    double sum = 0;
    for (const auto granted : backend.grants) {
        sum += 1 / (to_milliseconds(now - granted) + min_age_ms);
    }
    return sum;
}

bool usable_now(time_point now, const backend_entry& backend)
{
    return backend.usable() && now >= backend.held_until;
}

} // namespace

unsigned backend_selector::free_capacity(time_point now, const backend_entry& backend,
                                         const cold_check& may_use_cold) const
{
    if (!usable_now(now, backend)) {
        return 0;
    }
    unsigned used = backend.active + (now < backend.untracked_until ? backend.untracked : 0);
    const bool warm = backend.limiter.warm();
    used += warm ? 0 : backend.lapsed;
    const auto limit = backend.limiter.limit();
    if (used >= limit) {
        return 0;
    }
    if (!warm && backend.limiter.has_unconfirmed_limit()) {
        return used == 0 ? 1 : 0;
    }
    return warm || may_use_cold(backend) ? limit - used : 0;
}

backend_selector::result backend_selector::choose(time_point now, const backend_table& table,
                                                  const std::vector<backend_id>& avoid,
                                                  const cold_check& may_use_cold) const
{
    result chosen;
    double best = 0;
    unsigned total_free = 0;
    unsigned total_limit = 0;
    for (const auto& entry : table.all()) {
        const auto free_permits = this->free_capacity(now, *entry, may_use_cold);
        total_free += free_permits;
        total_limit += entry->usable() ? entry->limiter.limit() : 0;
        if (free_permits == 0 || contains(avoid, entry->server.name)) {
            continue;
        }
        const auto share = static_cast<double>(free_permits) / entry->limiter.limit();
        const bool longer_idle =
            chosen.backend != nullptr && entry->last_grant < chosen.backend->last_grant;
        if (share > best || (share == best && longer_idle)) {
            best = share;
            chosen.backend = entry.get();
        }
    }
    chosen.scarce = total_free * scarce_divisor <= total_limit;
    if (chosen.backend == nullptr) {
        chosen.backend = this->choose_overlap(now, table, avoid);
    }
    return chosen;
}

unsigned backend_selector::overlap_limit(const backend_entry& backend) const
{
    const auto limit = backend.limiter.limit();
    const auto covered = std::lround(std::ceil(this->idle_slot_share() * limit));
    return std::min(limit, 1 + static_cast<unsigned>(covered));
}

backend_entry* backend_selector::choose_overlap(time_point now, const backend_table& table,
                                                const std::vector<backend_id>& avoid) const
{
    backend_entry* chosen = nullptr;
    double best = 0;
    for (const auto& entry : table.all()) {
        if (!usable_now(now, *entry) || !entry->limiter.allows_overlap(now)) {
            continue;
        }
        const auto limit = entry->limiter.limit();
        const auto busy = entry->active + (now < entry->untracked_until ? entry->untracked : 0);
        if (busy < limit || busy >= limit + this->overlap_limit(*entry)) {
            continue;
        }
        const auto likelihood = completion_likelihood(now, *entry) / (1 + busy - limit);
        if (likelihood > best && !contains(avoid, entry->server.name)) {
            best = likelihood;
            chosen = entry.get();
        }
    }
    return chosen;
}

void backend_selector::record_success(duration permit_time, duration latency)
{
    this->average_permit_time = update_average(this->average_permit_time, permit_time);
    this->average_idle_time =
        update_average(this->average_idle_time, std::max(duration::zero(), permit_time - latency));
    if (this->running_median == duration::zero()) {
        this->running_median = latency;
        return;
    }
    const double step = latency > this->running_median ? 1 + median_step : 1 / (1 + median_step);
    this->running_median =
        duration(std::llround(static_cast<double>(this->running_median.count()) * step));
}

double backend_selector::idle_slot_share() const
{
    if (this->average_permit_time == duration::zero()) {
        return 0;
    }
    // The leader does not see the round trip to the backend server, so it is taken to be as long as
    // that of the permit.
    return std::min(1.0, 2.0 * static_cast<double>(this->average_idle_time.count()) /
                             static_cast<double>(this->average_permit_time.count()));
}

} // namespace azureshore::routing::detail
