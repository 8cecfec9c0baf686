#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace azureshore {

// The lowest bytes of a number, the highest of them first.
std::string to_big_endian(std::uint64_t number, std::size_t bytes);

// The number that stands so in at most eight bytes.
std::uint64_t from_big_endian(std::string_view bytes);

} // namespace azureshore
