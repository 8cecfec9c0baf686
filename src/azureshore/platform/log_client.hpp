#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/log.hpp"

#include <memory>

namespace azureshore::platform {

// The platform's log over HTTP. Calls and callbacks happen on the HTTP client's thread; the
// client must outlive the hooks.
log_hooks make_log_client(net::http_client& http, const address& where, duration timeout);

// Turns the result of an append's HTTP request into what is known of the record.
append_result read_append_answer(const net::http_result& result);

// Turns the result of a read's HTTP request into records.
read_result read_records_answer(const net::http_result& result);

} // namespace azureshore::platform
