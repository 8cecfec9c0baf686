#include "azureshore/core/address.hpp"

#include "azureshore/core/failure.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <array>
#include <charconv>

namespace azureshore {

namespace {

bool is_ip_number(const std::string& host)
{
    std::array<unsigned char, sizeof(in6_addr)> ignored{};
    // A host with a zero byte would be taken for what stands before that byte.
    return host.find('\0') == std::string::npos &&
           (inet_pton(AF_INET, host.c_str(), ignored.data()) == 1 ||
            inet_pton(AF_INET6, host.c_str(), ignored.data()) == 1);
}

} // namespace

std::string to_string(const address& where)
{
    return where.host + ':' + std::to_string(where.port);
}

absl::StatusOr<address> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return make_status(failure::address_invalid, "an address is written host:port");
    }
    address parsed;
    parsed.host = std::string(text.substr(0, colon));
    if (!is_ip_number(parsed.host)) {
        return make_status(failure::address_invalid, "the host of an address is an IP number");
    }
    const auto digits = text.substr(colon + 1);
    const auto* end = digits.data() + digits.size();
    const auto result = std::from_chars(digits.data(), end, parsed.port);
    if (result.ec != std::errc{} || result.ptr != end) {
        return make_status(failure::address_invalid, "a port is a number from 0 to 65535");
    }
    return parsed;
}

} // namespace azureshore
