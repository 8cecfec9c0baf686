#pragma once

#include "azureshore/net/http_server.hpp"

#include <functional>
#include <string>

namespace azureshore::daemon::detail {

// What the admin pages show.
struct admin_sources {
    // Why the VM takes no requests; empty when it is ready.
    std::function<std::string()> not_ready;
    std::function<std::string()> status;
    std::function<std::string()> metrics;
};

// The answer to a call of /healthz, /readyz, /metrics or /status.
net::http_answer admin_page(const net::http_call& call, const admin_sources& sources);

} // namespace azureshore::daemon::detail
