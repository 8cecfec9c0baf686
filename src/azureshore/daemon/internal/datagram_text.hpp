#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace azureshore::daemon::detail {

// A message as a datagram carries it: long ones are compressed.
std::string to_datagram(std::string_view message);

// The message in a datagram; nothing if it can't be read or is larger than a message may be.
std::optional<std::string> from_datagram(std::string_view datagram);

} // namespace azureshore::daemon::detail
