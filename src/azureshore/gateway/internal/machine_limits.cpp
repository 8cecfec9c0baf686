#include "azureshore/gateway/internal/machine_limits.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace azureshore::gateway::detail {

namespace {

// The process without callers takes 17 MB, and more with many backend servers and gateways.
constexpr std::size_t least_reserve = 28'000'000;
constexpr std::size_t most_reserve = 128'000'000;
// On a machine that is too small, ordinary requests are served still.
constexpr std::size_t least_memory = 8'000'000;
// A part of the reserve is for what an open connection takes, here and in the kernel.
constexpr std::size_t connection_bytes = 12UL * 1024UL;

} // namespace

caller_capacity capacity_of(std::size_t machine_bytes, std::size_t descriptors)
{
    const auto reserve = std::clamp(machine_bytes / 3, least_reserve, most_reserve);
    // A quarter of the descriptors is for backend servers, peers and the store.
    return {std::max(machine_bytes, reserve + least_memory) - reserve,
            std::min(descriptors - descriptors / 4, reserve / 3 / connection_bytes)};
}

std::size_t system_memory_bytes()
{
    const auto pages = sysconf(_SC_PHYS_PAGES);
    const auto page_bytes = sysconf(_SC_PAGESIZE);
    return static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
}

std::size_t system_descriptor_limit()
{
    rlimit found{};
    getrlimit(RLIMIT_NOFILE, &found);
    return found.rlim_cur;
}

} // namespace azureshore::gateway::detail
