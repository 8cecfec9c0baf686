#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>
#include <cmath>

namespace azureshore::balance::detail {

// Estimates the response time of a route's requests at an idle backend server, as an exponentially
// weighted moving average of the observed answers.
class response_time_estimate {
public:
    explicit response_time_estimate(duration target) : mean(target / 3) {}

    // Returns the expected response time at a backend server with the given cost.
    [[nodiscard]] duration expected(double cost) const
    {
        return std::chrono::duration_cast<duration>(this->mean * cost);
    }

    // Adds an answer that took this time at a backend server with the given cost.
    void add_sample(duration response_time, double cost)
    {
        const auto idle_response_time =
            std::chrono::duration<double>(response_time) / std::max(cost, 0.5);
        const auto shift =
            (idle_response_time - std::chrono::duration<double>(this->mean)) * smoothing_factor;
        this->mean += std::chrono::duration_cast<duration>(shift);
        this->mean = std::max<duration>(this->mean, std::chrono::milliseconds(1));
    }

private:
    static constexpr double smoothing_factor = 0.08;

    duration mean;
};

} // namespace azureshore::balance::detail
