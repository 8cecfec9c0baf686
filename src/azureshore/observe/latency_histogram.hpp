#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/observe/labels.hpp"

#include <array>
#include <cstdint>
#include <string>

namespace azureshore::observe {

// Counts time spans in fixed buckets. Costs one addition a span; not safe between threads.
class latency_histogram {
public:
    void add(duration span);

    // Appends the samples in Prometheus' text format. The line with the type is the caller's.
    void write(std::string& out, const std::string& name, const labels& of) const;

private:
    // Upper bounds in milliseconds: from the hop to a backend server to the longest time-outs.
    static constexpr std::array<std::uint32_t, 13> bounds_ms{1,   2,   5,    10,   25,   50,   100,
                                                             250, 500, 1000, 2500, 5000, 10000};

    std::array<std::uint64_t, bounds_ms.size() + 1> counts{};
    duration sum{};
};

} // namespace azureshore::observe
