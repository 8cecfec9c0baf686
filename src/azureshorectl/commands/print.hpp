#pragma once

#include "azureshore/configuration/problem.hpp"
#include "azureshore/wire/configuration_record.hpp"
#include "azureshorectl/commands/environment.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace azureshore::ctl {

// One key's change, such as "services.foundry.slots: 2 -> 4".
std::string to_line(const wire::setting_step& step);

// An accepted change with its keys, one a line.
std::string to_lines(const wire::accepted_change& change);

// The change as JSON.
nlohmann::ordered_json to_json(const wire::accepted_change& change);

// A value as JSON; a mark is an empty object.
nlohmann::ordered_json to_json(const wire::setting_value& value);

// The problems of a tree, one a line, each after the file's name.
std::string to_lines(const std::vector<configuration::problem>& problems, std::string_view file);

} // namespace azureshore::ctl
