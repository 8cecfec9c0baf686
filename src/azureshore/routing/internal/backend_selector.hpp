#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/routing/internal/backend_table.hpp"

#include <functional>
#include <vector>

namespace azureshore::routing::detail {

// Selects the backend server for the next permit, from measured latencies and permit times.
class backend_selector {
public:
    struct result {
        backend_entry* backend = nullptr;
        // Few permits are left, so holders must return them without delay.
        bool scarce = false;
    };

    // Whether requests may be sent to a cold backend server now.
    using cold_check = std::function<bool(const backend_entry&)>;

    [[nodiscard]] result choose(time_point now, const backend_table& table,
                                const std::vector<backend_id>& avoid,
                                const cold_check& may_use_cold) const;

    // Records a successful request: the time from its grant to its return, and its latency.
    void record_success(duration permit_time, duration latency);

    // Returns the pool's median latency, or zero if it is not known yet.
    [[nodiscard]] duration median_latency() const { return this->running_median; }
    // Returns the mean time from a permit's grant to its return, or zero if it is not known yet.
    [[nodiscard]] duration mean_permit_time() const { return this->average_permit_time; }
    // Returns the share of a permit's time during which its slot is idle.
    [[nodiscard]] double idle_slot_share() const;

private:
    [[nodiscard]] unsigned free_capacity(time_point now, const backend_entry& backend,
                                         const cold_check& may_use_cold) const;
    // Returns how many permits beyond its limit a warm backend server may get, so that the next
    // request has arrived when a slot becomes free. This is the mean number of idle slots, rounded
    // up, plus one to allow for requests that run for long, but no more than the limit.
    [[nodiscard]] unsigned overlap_limit(const backend_entry& backend) const;
    [[nodiscard]] backend_entry* choose_overlap(time_point now, const backend_table& table,
                                                const std::vector<backend_id>& avoid) const;

    duration running_median{};
    duration average_permit_time{};
    duration average_idle_time{};
};

} // namespace azureshore::routing::detail
