#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>

namespace azureshore::balance {

// Token bucket for this daemon's share of the health probes to the backend servers of a service.
// The rate is limited on average; tokens saved in quiet periods allow bursts.
class probe_token_bucket {
public:
    // Refills at the given rate, then takes one token. Returns false if there is none.
    bool try_take(time_point now, double per_second)
    {
        const auto capacity = per_second * std::chrono::duration<double>(burst_period).count();
        if (!this->started) {
            this->started = true;
            this->tokens = capacity / 2;
        }
        else {
            const std::chrono::duration<double> elapsed = now - this->refilled_at;
            this->tokens = std::min(this->tokens + elapsed.count() * per_second, capacity);
        }
        this->refilled_at = now;
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    // The bucket holds at most the tokens that the rate yields in this time.
    static constexpr duration burst_period = std::chrono::seconds(12);

    double tokens = 0;
    time_point refilled_at{};
    bool started = false;
};

} // namespace azureshore::balance
