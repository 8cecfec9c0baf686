#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

namespace azureshore::load {

// The load to put on one address.
struct load_plan {
    address target;
    std::string path = "/catalogue/plates";
    // Requests started a second, whether or not earlier ones have ended; zero starts one as soon
    // as one has ended.
    double rate = 0;
    // Requests under way at most; one that is due while all are busy counts as skipped.
    std::size_t connections = 8;
    duration length = std::chrono::seconds(1);
    // Requests at most.
    std::uint64_t count = 1'000'000;
    // Share of requests that are POST with an Idempotency-Key.
    double orders = 0;
    duration timeout = std::chrono::seconds(5);
    std::uint64_t seed = 1;
    // Whether each answer must hold what its request sent.
    bool check_answers = true;
    // Whether GET requests may use a connection again.
    bool keep_connections = true;
};

} // namespace azureshore::load
