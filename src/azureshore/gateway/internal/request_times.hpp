#pragma once

#include "azureshore/balance/dispatch_types.hpp"
#include "azureshore/observe/latency_histogram.hpp"

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace azureshore::gateway::detail {

// How long requests took, by service, kind and outcome, for the metrics page.
class request_times {
public:
    void ended(const balance::completed_request& request);

    // Appends all histograms in Prometheus' text format.
    void write(std::string& out) const;

private:
    struct histograms {
        observe::latency_histogram total;
        observe::latency_histogram queued;
        observe::latency_histogram at_backend;
        observe::latency_histogram added;
    };

    using member = observe::latency_histogram histograms::*;
    void write_family(std::string& out, const char* name, member of) const;

    // Service, whether idempotent, and outcome; outcomes are literals.
    std::map<std::tuple<std::string, bool, std::string_view>, histograms> all;
};

} // namespace azureshore::gateway::detail
