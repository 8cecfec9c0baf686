#pragma once

#include <compare>
#include <string>
#include <vector>

namespace azureshore::observe {

// One label of a metric.
struct label {
    std::string name;
    std::string value;

    auto operator<=>(const label&) const = default;
};

using labels = std::vector<label>;

// The labels in Prometheus' text format, with their braces; empty for none.
std::string written(const labels& of);

} // namespace azureshore::observe
