#pragma once

#include <chrono>

namespace azureshore {

// All decisions take the time as an argument, so that tests run them in virtual time.
using duration = std::chrono::nanoseconds;
using time_point = std::chrono::time_point<std::chrono::steady_clock, duration>;

// The time now, for those who drive decisions and not for the decisions themselves.
inline time_point steady_now()
{
    return std::chrono::steady_clock::now();
}

// Milliseconds with a fraction, for logs and metrics.
inline double to_milliseconds(duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

} // namespace azureshore
