#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"
#include "azureshore/outcomes/request.hpp"

#include <variant>

namespace azureshore::proxy {

struct incoming_limits {
    // A caller that names a longer deadline gets this one.
    duration longest_deadline = std::chrono::seconds(60);
};

// Reads a call as a request, or says why it can't be one; nothing has run then.
std::variant<outcomes::incoming_request, outcomes::refusal>
read_request(net::http_call call, const incoming_limits& limits);

} // namespace azureshore::proxy
