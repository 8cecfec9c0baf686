#pragma once

#include "backend_server.hpp"

#include <optional>

namespace azureshore::standin {

// What one call of /standin/faults asks for.
struct backend_switches {
    backend_faults faults;
    // Turns the server cold or warm at once.
    std::optional<bool> cold;
    // Gives it a new instance, as a restarted process has.
    bool restart = false;
};

// Reads the switches of a call, as a JSON object or as a query, on top of the faults in force;
// nothing when one is unknown or has a wrong value.
std::optional<backend_switches> read_switches(const net::http_call& call,
                                              const backend_faults& in_force);

} // namespace azureshore::standin
