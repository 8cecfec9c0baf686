#pragma once

#include "azureshore/core/time.hpp"

#include <algorithm>
#include <string>

namespace azureshore::balance {

inline constexpr int first_server_error = 500;
inline constexpr int status_not_found = 404;
inline constexpr int status_bad_gateway = 502;
inline constexpr int status_unavailable = 503;
inline constexpr int status_gateway_timeout = 504;

// A caller that does not say how long it waits.
inline constexpr duration unknown_patience = std::chrono::seconds(30);
// Times to come back: what is missing, or room, is expected that soon.
inline constexpr duration soon = std::chrono::milliseconds(100);

// A number with two digits after the point, for the log.
inline std::string text_of(double number)
{
    auto text = std::to_string(number);
    text.resize(std::min(text.size(), text.find('.') + 3));
    return text;
}

} // namespace azureshore::balance
