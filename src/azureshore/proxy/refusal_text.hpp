#pragma once

#include "azureshore/net/http_server.hpp"
#include "azureshore/outcomes/request.hpp"

namespace azureshore::proxy {

// The status of an answer that refuses for that cause.
int status_of(outcomes::refusal_cause cause);

// A refusal as a caller gets it: status, Proxy-Status (RFC 9209), Azureshore-Run, Retry-After and
// a problem document (RFC 9457).
net::http_answer write_refusal(const outcomes::refusal& refused);

} // namespace azureshore::proxy
