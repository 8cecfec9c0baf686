#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace azureshore::balance {

// What a backend server's own registration says of it.
struct registration {
    backend_id id;
    service_id service;
    data_centre_id data_centre;
    address endpoint;
    std::size_t slots = 1;
    bool draining = false;
    // How much longer it is cold after its start.
    duration cold_remaining{};
    // Counts the registrations of one run of the process.
    std::uint64_t sequence = 0;
    // Unix milliseconds of the start of the process; tells its runs apart. Zero if not told.
    std::int64_t started_at = 0;

    bool operator==(const registration&) const = default;
};

// The load that a backend server tells in its answers.
struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
    // How many times longer than usual work takes on its VM at this moment.
    double slowness = 1;

    bool operator==(const load_report&) const = default;
};

// The answer to a health probe.
struct probe_result {
    bool healthy = false;
    std::optional<load_report> load;
    std::optional<duration> cold_remaining;
};

} // namespace azureshore::balance
