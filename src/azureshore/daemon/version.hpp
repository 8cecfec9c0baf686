#pragma once

#include <string_view>

namespace azureshore::daemon {

// The release that this library belongs to.
constexpr std::string_view version = "0.1.0";

} // namespace azureshore::daemon
