#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>
#include <string>

namespace azureshore::balance {

inline constexpr int first_server_error = 500;
inline constexpr int status_unauthorized = 401;
inline constexpr int status_not_found = 404;
inline constexpr int status_request_timeout = 408;
inline constexpr int status_misdirected = 421;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

// Whether callers take a status for the promise that the request has not run and never will.
inline bool promises_not_run(int status)
{
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many_requests || status == status_unavailable;
}

// Assumed for a caller that states no timeout.
inline constexpr duration default_caller_timeout = std::chrono::seconds(30);
// Retry-After time where the missing information or capacity is expected within that time.
inline constexpr duration short_retry_delay = std::chrono::milliseconds(100);

// Interval at which the queue of a service is processed.
inline constexpr duration queue_check_interval = std::chrono::milliseconds(12);

// Formats a number with two decimal places, for the log.
inline std::string format_decimal(double number)
{
    auto text = std::to_string(number);
    text.resize(std::min(text.size(), text.find('.') + 3));
    return text;
}

} // namespace azureshore::balance
