#pragma once

#include "azureshore/configuration/problem.hpp"
#include "azureshore/configuration/tree.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace azureshore::configuration {

// A text read as a tree: all problems found, in the order of the text, or none.
struct parsed_tree {
    tree settings;
    std::vector<problem> problems;
};

// Reads TOML and checks the tree that it describes.
parsed_tree read_tree(std::string_view text);

// Reads and checks as `read_tree` does; fails with failure::tree_invalid and all problems, one a
// line.
absl::StatusOr<tree> parse_tree(std::string_view text);

// The tree as TOML, always in the same order; `read_tree` reads it back unchanged.
std::string to_toml(const tree& settings);

} // namespace azureshore::configuration
