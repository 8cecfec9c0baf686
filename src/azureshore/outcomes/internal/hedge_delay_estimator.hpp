#pragma once

#include "azureshore/core/time.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>
#include <optional>

namespace azureshore::outcomes::detail {

// How long an attempt runs before a hedge is worth its load: the latency that all but a small
// share of recent attempts stayed below.
class hedge_delay {
public:
    void answered(duration latency)
    {
        this->current(static_cast<double>(latency.count()));
        if (++this->samples < window) {
            return;
        }
        const auto found = boost::accumulators::p_square_quantile(this->current);
        this->latest = duration(static_cast<duration::rep>(found));
        this->current = make();
        this->samples = 0;
    }

    // Nothing until a first window of answers has been seen.
    [[nodiscard]] std::optional<duration> value() const { return this->latest; }

private:
    static constexpr std::size_t window = 200;
    static constexpr double quantile = 0.95;

    using quantile_tag = boost::accumulators::tag::p_square_quantile;
    using accumulator =
        boost::accumulators::accumulator_set<double, boost::accumulators::stats<quantile_tag>>;

    static accumulator make()
    {
        return accumulator(boost::accumulators::quantile_probability = quantile);
    }

    accumulator current = make();
    std::size_t samples = 0;
    std::optional<duration> latest;
};

} // namespace azureshore::outcomes::detail
