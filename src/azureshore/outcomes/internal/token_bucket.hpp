#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>

namespace azureshore::outcomes::detail {

// A token bucket that bounds the rate of events and allows a small burst after idle time.
class token_bucket {
public:
    void set_rate(double new_rate)
    {
        this->tokens_per_second = std::max(new_rate, min_tokens_per_second);
    }

    // Takes a token. Returns false when none is left.
    bool try_take(time_point now)
    {
        this->refill(now);
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

    // Returns when a token can be taken; `now` if one is left.
    [[nodiscard]] time_point next_token_at(time_point now)
    {
        this->refill(now);
        if (this->tokens >= 1) {
            return now;
        }
        const std::chrono::duration<double> wait((1 - this->tokens) / this->tokens_per_second);
        // Rounded up, so that the token is available at the returned time.
        return now + std::chrono::ceil<std::chrono::microseconds>(wait);
    }

private:
    static constexpr double max_tokens = 2;
    static constexpr double min_tokens_per_second = 0.1;

    void refill(time_point now)
    {
        const std::chrono::duration<double> elapsed = now - this->last_refill;
        this->tokens =
            std::min(this->tokens + elapsed.count() * this->tokens_per_second, max_tokens);
        this->last_refill = std::max(this->last_refill, now);
    }

    double tokens_per_second = min_tokens_per_second;
    double tokens = max_tokens;
    time_point last_refill{};
};

} // namespace azureshore::outcomes::detail
