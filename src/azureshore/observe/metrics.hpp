#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/observe/labels.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace azureshore::observe {

// The process's metrics. Each series has its own lock, so that a scrape holds up no request.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    metrics(metrics&&) = delete;
    metrics& operator=(metrics&&) = delete;

    // Adds to a counter.
    void add(std::string_view name, const labels& of, std::uint64_t count = 1);

    // Sets a gauge.
    void set(std::string_view name, const labels& of, double value);

    // Adds one time span to a summary with its median, 99th and 99.9th percentile, in seconds.
    void observe(std::string_view name, const labels& of, duration span);

    // Every series in Prometheus' text format, sorted by name and labels.
    [[nodiscard]] std::string to_text() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::observe
