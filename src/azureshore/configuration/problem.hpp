#pragma once

#include "azureshore/wire/configuration_record.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace azureshore::configuration {

// Why a tree is refused.
enum class problem_kind {
    syntax,
    too_large,
    unknown_branch,
    unknown_key,
    wrong_type,
    out_of_range,
    missing_key,
    bad_name,
    // A branch names a region, data centre or service that the tree does not have.
    dangling_reference,
    // Two limits of one service in one data centre contradict each other.
    contradiction,
};

std::string_view to_string(problem_kind kind);

// One fault of a tree.
struct problem {
    problem_kind kind = problem_kind::syntax;
    // The key or branch at fault; empty for a fault of the whole text.
    wire::setting_path where;
    std::string reason;
    // Line in the text, from one; zero when the tree does not come from a text.
    unsigned line = 0;

    bool operator==(const problem&) const = default;
};

// The problem as one line; `file` comes first when it is not empty.
std::string to_line(const problem& found, std::string_view file = {});

} // namespace azureshore::configuration
