#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>

namespace azureshore::balance {

// Limits the requests that one daemon sends to one cold backend server. Consecutive requests are
// at least one interval of the rate apart; no burst is allowed.
class cold_rate_limiter {
public:
    // Counts a request and returns true if the rate allows it now.
    bool try_acquire(time_point now, double per_second)
    {
        if (!this->can_acquire(now, per_second)) {
            return false;
        }
        this->last_acquired = now;
        this->used = true;
        return true;
    }

    // Delays the first request by a share of the interval between requests.
    void delay_first(time_point now, double per_second, double share)
    {
        if (!this->used && per_second > 0) {
            const std::chrono::duration<double> saved((1 - share) / per_second);
            this->last_acquired = now - std::chrono::duration_cast<duration>(saved);
            this->used = true;
        }
    }

    [[nodiscard]] bool can_acquire(time_point now, double per_second) const
    {
        if (per_second <= 0) {
            return false;
        }
        const std::chrono::duration<double> interval(1 / per_second);
        return !this->used || now - this->last_acquired >= interval;
    }

private:
    time_point last_acquired{};
    bool used = false;
};

} // namespace azureshore::balance
