#pragma once

#include <cstdint>
#include <cstdlib>
#include <string>

namespace azureshore::test_support {

// A number that the environment sets, such as AZURESHORE_SCHEDULES.
inline std::uint64_t number_from(const char* variable, std::uint64_t otherwise)
{
    // NOLINTNEXTLINE(concurrency-mt-unsafe): read before any thread is started
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

} // namespace azureshore::test_support
