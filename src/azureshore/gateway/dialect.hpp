#pragma once

#include "azureshore/balance/backend_server.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace azureshore::gateway {

// How callers and backend servers spell what the gateway reads and writes: the names of header
// fields, and the formats of their values.
struct dialect {
    // Names a request; backend servers repeat it in their answers.
    std::string request_id;
    // Milliseconds that the sender still waits.
    std::string deadline_ms;
    // Stands in every answer of a backend server to a request.
    std::string signature;
    // Names the backend server that alone may run a request.
    std::string expected_instance;
    // In a health answer: the backend server that gave it.
    std::string instance;
    // Present when a backend server did not run the request.
    std::string not_run;
    // A backend server's load, read by `read_load`.
    std::string load;
    // In a health answer: milliseconds for which the backend server stays cold.
    std::string cold_ms;
    std::function<std::optional<balance::load_report>(std::string_view)> read_load;
    // The key by which a caller shows its client account; empty if there is no such field.
    std::string account_key;
    // Names the client account of a request to a backend server; empty if there is no such field.
    std::string account;
};

} // namespace azureshore::gateway
