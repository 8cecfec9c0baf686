#include "azureshore/core/big_endian.hpp"

namespace azureshore {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::uint64_t byte_mask = 0xff;

} // namespace

std::string to_big_endian(std::uint64_t number, std::size_t bytes)
{
    std::string out(bytes, '\0');
    for (auto place = bytes; place > 0; --place) {
        out[place - 1] = static_cast<char>(number & byte_mask);
        number >>= bits_per_byte;
    }
    return out;
}

std::uint64_t from_big_endian(std::string_view bytes)
{
    std::uint64_t number = 0;
    for (const char each : bytes) {
        number = number << bits_per_byte | static_cast<unsigned char>(each);
    }
    return number;
}

} // namespace azureshore
