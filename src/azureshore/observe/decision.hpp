#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::observe {

// One key=value pair of a log line.
struct decision_field {
    std::string_view key;
    std::string value;
};

// One routing or placement decision, logged as one line.
struct decision {
    // What was decided, such as "grant" or "refuse".
    std::string_view event;
    std::vector<decision_field> fields;
};

using decision_hook = std::function<void(const decision&)>;

// The decision as `event key=value ...`; values with spaces or quotes are quoted.
std::string to_line(const decision& made);

} // namespace azureshore::observe
