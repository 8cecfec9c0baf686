#pragma once

#include <cstddef>

namespace azureshore::gateway::detail {

// What callers may take of this machine.
struct caller_capacity {
    // Bytes of heads, bodies and answers together.
    std::size_t memory_bytes = 0;
    std::size_t connections = 0;
};

// What is left to callers of so much memory and so many descriptors: the process itself, its
// connections and its messages to other gateways need the rest.
caller_capacity capacity_of(std::size_t machine_bytes, std::size_t descriptors);

// The memory of the machine and the limit of this process for descriptors, as the system says.
std::size_t system_memory_bytes();
std::size_t system_descriptor_limit();

} // namespace azureshore::gateway::detail
