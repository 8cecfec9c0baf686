#include "azureshore/configuration/problem.hpp"

#include "azureshore/configuration/tree.hpp"

#include <absl/strings/str_cat.h>

namespace azureshore::configuration {

std::string_view to_string(problem_kind kind)
{
    switch (kind) {
    case problem_kind::syntax:
        return "syntax";
    case problem_kind::too_large:
        return "too-large";
    case problem_kind::unknown_branch:
        return "unknown-branch";
    case problem_kind::unknown_key:
        return "unknown-key";
    case problem_kind::wrong_type:
        return "wrong-type";
    case problem_kind::out_of_range:
        return "out-of-range";
    case problem_kind::missing_key:
        return "missing-key";
    case problem_kind::bad_name:
        return "bad-name";
    case problem_kind::dangling_reference:
        return "dangling-reference";
    case problem_kind::contradiction:
        return "contradiction";
    }
    return "unknown";
}

std::string to_line(const problem& found, std::string_view file)
{
    std::string place(file);
    if (found.line > 0) {
        absl::StrAppend(&place, place.empty() ? "line " : ":", found.line);
    }
    if (!place.empty()) {
        place += ": ";
    }
    const auto branch = found.where.empty() ? "" : to_string(found.where) + ": ";
    return absl::StrCat(place, branch, found.reason, " [", std::string(to_string(found.kind)), "]");
}

} // namespace azureshore::configuration
