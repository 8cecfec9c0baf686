#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azureshore::configuration {

// The limits of one service in one data centre, after inheritance.
struct service_limits {
    // Requests that one backend server works on at once when warm.
    unsigned slots = 2;
    // Requests that one backend server bears while it is cold.
    unsigned cold_window = 1;
    // Connections that one backend server accepts.
    unsigned connections = 220;
    // The whole time a request has when its caller names none.
    duration deadline = std::chrono::seconds(2);
    // Retries allowed per first attempt, as a share, summed over a service on one VM.
    double retry_ratio = 0.1;
    // Attempts of one request at most, the first included.
    unsigned max_attempts = 3;
    // Load probes a second over all VMs.
    double probes_per_second = 20;
    // Share of a cell's backend servers that may be set aside as outliers.
    double outlier_share = 0.3;
    // Largest body taken from a caller or a backend server, in bytes.
    std::size_t max_body = 1024UL * 1024UL;
    // Whether a non-idempotent request must carry an Idempotency-Key.
    bool require_key = false;
    // How long the outcome of a key is remembered.
    duration key_lifetime = std::chrono::hours(1);
    // Whether idempotent requests may be hedged.
    bool hedge = false;

    bool operator==(const service_limits&) const = default;
};

// One service as the tree describes it.
struct service_config {
    service_id name;
    // Limits per data centre; a data centre without an entry runs none of this service.
    std::map<data_centre_id, service_limits> cells;

    bool operator==(const service_config&) const = default;
};

// One data centre as the tree describes it.
struct data_centre_config {
    data_centre_id name;
    region_id region;
    // Whether operators have it in service; out of service it gets no new work.
    bool in_service = true;

    bool operator==(const data_centre_config&) const = default;
};

// The whole tree with inheritance applied: what is in force on a VM.
struct effective_configuration {
    // One more than the offset of the last accepted change; it only grows. Zero before the first.
    std::uint64_t revision = 0;
    std::map<service_id, std::shared_ptr<const service_config>> services;
    std::map<data_centre_id, data_centre_config> data_centres;
    // VMs, entry or backend server, that operators took out of service.
    std::set<vm_id> vms_out;
};

} // namespace azureshore::configuration
