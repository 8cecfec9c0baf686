#pragma once

#include <algorithm>

namespace azureshore::outcomes::detail {

// Bounds the retries and hedges of one service on one VM to a ratio of its first attempts. Each
// first attempt adds `ratio` tokens, and each further attempt takes one token.
class retry_budget {
public:
    // Sets the tokens that each first attempt adds. Zero or less forbids further attempts.
    void set_ratio(double new_ratio)
    {
        if (new_ratio <= 0) {
            this->tokens = 0;
        }
        else if (this->ratio <= 0) {
            this->tokens = std::max(this->tokens, initial_tokens);
        }
        this->ratio = std::max(new_ratio, 0.0);
    }

    void record_first_attempt() { this->tokens = std::min(this->tokens + this->ratio, max_tokens); }

    // Takes a token for a further attempt. Returns false when less than one is left.
    bool try_spend()
    {
        if (this->tokens < 1) {
            return false;
        }
        this->tokens -= 1;
        return true;
    }

private:
    // Allows a service with little traffic to retry.
    static constexpr double initial_tokens = 3;
    // Bounds the burst of retries after a period without any.
    static constexpr double max_tokens = 20;

    double ratio = 0;
    double tokens = 0;
};

} // namespace azureshore::outcomes::detail
