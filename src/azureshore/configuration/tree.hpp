#pragma once

#include "azureshore/wire/configuration_record.hpp"

#include <map>
#include <string>

namespace azureshore::configuration {

// The tree as operators wrote it, without inheritance: each key by the names from the root down.
// Regions, data centres, services and VMs carry a mark, so that they exist without keys too.
using tree = std::map<wire::setting_path, wire::setting_value>;

// The tables below the root.
inline constexpr const char* defaults_table = "defaults";
inline constexpr const char* regions_table = "regions";
inline constexpr const char* data_centres_table = "data_centres";
inline constexpr const char* services_table = "services";
inline constexpr const char* vms_table = "vms";

// Keys of a data centre or VM besides the limits.
inline constexpr const char* region_key = "region";
inline constexpr const char* in_service_key = "in_service";

// The path as a dotted TOML key, quoted where TOML asks for it.
std::string to_string(const wire::setting_path& path);

// The value as TOML writes it; a mark as "{}".
std::string to_string(const wire::setting_value& value);

} // namespace azureshore::configuration
