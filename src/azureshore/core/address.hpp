#pragma once

#include <absl/status/statusor.h>

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace azureshore {

// An IP number and a port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
    bool operator==(const address&) const = default;
};

// The address written as host:port.
std::string to_string(const address& where);

// Reads host:port. Host names are not looked up: a host that is no IP number fails with
// failure::address_invalid, as does a port out of range.
absl::StatusOr<address> parse_address(std::string_view text);

} // namespace azureshore
