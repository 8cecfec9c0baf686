#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>
#include <cmath>

namespace azureshore::balance::detail {

// The time that a route's requests take at an idle backend server, learned from answers.
class work_estimate {
public:
    explicit work_estimate(duration target) : mean(target / 3) {}

    [[nodiscard]] duration expected(double cost) const
    {
        return std::chrono::duration_cast<duration>(this->mean * cost);
    }

    // An answer took this long at a server of that cost.
    void learn(duration took, double cost)
    {
        const auto normal = std::chrono::duration<double>(took) / std::max(cost, 0.5);
        const auto shift = (normal - std::chrono::duration<double>(this->mean)) * weight;
        this->mean += std::chrono::duration_cast<duration>(shift);
        this->mean = std::max<duration>(this->mean, std::chrono::milliseconds(1));
    }

private:
    static constexpr double weight = 0.08;

    duration mean;
};

} // namespace azureshore::balance::detail
