#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/wire/configuration_record.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::configuration {

// What a key's value is.
enum class value_type { flag, whole, number };

std::string_view to_string(value_type type);

// One limit that the tree may set on any branch.
struct limit_key {
    std::string_view name;
    value_type type = value_type::whole;
    // Range of a whole or a number; a flag has none.
    double least = 0;
    double most = 0;
    std::string_view unit;
    std::string_view help;
    // Puts a value of the right type and range into the limits.
    std::function<void(service_limits&, const wire::setting_value&)> put;
    // The value in the limits.
    std::function<wire::setting_value(const service_limits&)> get;
};

// All limits, in the order in which they are shown.
const std::vector<limit_key>& limit_keys();

// The limit of that name, or null.
const limit_key* find_limit_key(std::string_view name);

// The key that says whether a service runs in a data centre; a flag, inherited as limits are.
inline constexpr const char* runs_key = "runs";

} // namespace azureshore::configuration
