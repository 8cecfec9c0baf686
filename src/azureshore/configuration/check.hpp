#pragma once

#include "azureshore/configuration/problem.hpp"
#include "azureshore/configuration/tree.hpp"

#include <vector>

namespace azureshore::configuration {

// Largest sum of the names and values of a tree, in bytes; leaves room for a snapshot record.
inline constexpr std::size_t max_tree_bytes = 384UL * 1024UL;

// All faults of a tree; none when it may come into force.
std::vector<problem> check(const tree& settings);

} // namespace azureshore::configuration
