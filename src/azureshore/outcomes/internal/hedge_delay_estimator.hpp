#pragma once

#include "azureshore/core/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace azureshore::outcomes::detail {

// Estimates how long an attempt runs before a hedge is worth its load: the 95th percentile of the
// latency of recent answered attempts. The estimate is replaced after each full set of samples.
class hedge_delay_estimator {
public:
    void add_latency(duration latency)
    {
        this->current(static_cast<double>(latency.count()));
        if (++this->samples < samples_per_estimate) {
            return;
        }
        const auto estimate = boost::accumulators::p_square_quantile(this->current);
        this->latest_delay = duration(static_cast<duration::rep>(estimate));
        this->current = make_accumulator();
        this->samples = 0;
    }

    // Returns no delay before the first set of samples is complete.
    [[nodiscard]] std::optional<duration> delay() const { return this->latest_delay; }

private:
    static constexpr std::size_t samples_per_estimate = 200;
    static constexpr double quantile = 0.95;

    using quantile_tag = boost::accumulators::tag::p_square_quantile;
    using accumulator =
        boost::accumulators::accumulator_set<double, boost::accumulators::stats<quantile_tag>>;

    static accumulator make_accumulator()
    {
        return accumulator(boost::accumulators::quantile_probability = quantile);
    }

    accumulator current = make_accumulator();
    std::size_t samples = 0;
    std::optional<duration> latest_delay;
};

} // namespace azureshore::outcomes::detail
