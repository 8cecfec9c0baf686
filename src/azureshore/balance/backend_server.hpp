#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace azureshore::balance {

// The registration that a backend server publishes about itself.
struct registration {
    backend_id id;
    service_id service;
    data_centre_id data_centre;
    address endpoint;
    std::size_t slots = 1;
    bool draining = false;
    // The remaining time in which the backend server is cold after its start.
    duration cold_remaining{};
    // Increases with each registration of one run of the process.
    std::uint64_t sequence = 0;
    // Start of the process in Unix milliseconds, which distinguishes its runs. Zero if unknown.
    std::int64_t started_at = 0;
    // The version of the program that it runs. Empty if unknown.
    std::string version;

    bool operator==(const registration&) const = default;
};

// The load that a backend server reports in its answers.
struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
    // Factor by which work currently takes longer than usual on the VM.
    double slowness = 1;

    bool operator==(const load_report&) const = default;
};

// The answer of a backend server to a health probe.
struct probe_result {
    bool healthy = false;
    std::optional<load_report> load;
    std::optional<duration> cold_remaining;
};

} // namespace azureshore::balance
