#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_client.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace azureshore::load {

// What became of the requests of one run.
struct load_report {
    std::uint64_t sent = 0;
    std::uint64_t skipped = 0;
    // Answers that did not hold what their request sent.
    std::uint64_t wrong_answers = 0;
    std::map<int, std::uint64_t> statuses;
    // By the cause in Proxy-Status.
    std::map<std::string, std::uint64_t> refusals;
    // Requests without a whole answer, by failure.
    std::map<std::string, std::uint64_t> failures;
    // Of whole answers with status 200.
    std::vector<duration> latencies;
    duration length{};

    // Takes one result; `own` is what its answer should hold, empty when that is not checked.
    void add(const net::http_result& result, const std::string& own);
};

// The report as one line of JSON; times in milliseconds.
std::string to_json(const load_report& report);

} // namespace azureshore::load
