#include "azureshore/routing/internal/region_selector.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

namespace {

// Assumed round trip to another region until one has been measured.
constexpr duration initial_round_trip = std::chrono::milliseconds(20);

// The weight of a pool's last known queue wait decreases linearly to zero over this time.
constexpr duration wait_estimate_lifetime = std::chrono::milliseconds(200);

constexpr int average_weight_divisor = 8;

} // namespace

void region_selector::update(std::vector<region_id> in_service, region_id own_region)
{
    this->regions = std::move(in_service);
    this->local_region = std::move(own_region);
}

void region_selector::record_grant(time_point now, const region_id& region, duration total,
                                   duration waited)
{
    auto& current = this->estimates[region];
    const auto round_trip = std::max(duration::zero(), total - waited);
    current.round_trip =
        current.round_trip == duration::zero()
            ? round_trip
            : current.round_trip + (round_trip - current.round_trip) / average_weight_divisor;
    current.queue_wait = waited;
    current.updated_at = now;
}

void region_selector::record_refusal(time_point now, const region_id& region, duration retry_after)
{
    auto& current = this->estimates[region];
    current.queue_wait = retry_after;
    current.updated_at = now;
}

duration region_selector::expected_delay(time_point now, const region_id& region) const
{
    const auto found = this->estimates.find(region);
    const bool is_local = region == this->local_region;
    if (found == this->estimates.end()) {
        return is_local ? duration::zero() : initial_round_trip;
    }
    const auto& current = found->second;
    const auto round_trip = current.round_trip == duration::zero() && !is_local
                                ? initial_round_trip
                                : current.round_trip;
    const auto age = now - current.updated_at;
    if (age >= wait_estimate_lifetime) {
        return round_trip;
    }
    const auto weight = static_cast<double>((wait_estimate_lifetime - age).count()) /
                        static_cast<double>(wait_estimate_lifetime.count());
    return round_trip + duration(static_cast<std::int64_t>(
                            static_cast<double>(current.queue_wait.count()) * weight));
}

const region_id* region_selector::choose(time_point now, const std::vector<region_id>& tried) const
{
    const region_id* best = nullptr;
    duration best_delay{};
    for (const auto& region : this->regions) {
        if (std::find(tried.begin(), tried.end(), region) != tried.end()) {
            continue;
        }
        const auto delay = this->expected_delay(now, region);
        if (best == nullptr || delay < best_delay) {
            best = &region;
            best_delay = delay;
        }
    }
    return best;
}

} // namespace azureshore::routing::detail
