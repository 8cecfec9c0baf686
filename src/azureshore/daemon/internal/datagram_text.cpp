#include "azureshore/daemon/internal/datagram_text.hpp"

#include "azureshore/core/big_endian.hpp"
#include "azureshore/wire/message.hpp"

#include <zlib.h>

namespace azureshore::daemon::detail {

namespace {

// The first byte of a datagram.
constexpr char plain = 'p';
constexpr char compressed = 'z';
// Shorter messages would not get much smaller.
constexpr std::size_t least_compressed = 512;
// The kind, and for a compressed message its length, big-endian.
constexpr std::size_t length_bytes = 4;
constexpr std::size_t compressed_head = 1 + length_bytes;

} // namespace

std::string to_datagram(std::string_view message)
{
    if (message.size() >= least_compressed) {
        auto bound = compressBound(static_cast<uLong>(message.size()));
        std::string out(bound + compressed_head, compressed);
        out.replace(1, length_bytes, to_big_endian(message.size(), length_bytes));
        const auto* const from = reinterpret_cast<const Bytef*>(message.data());
        auto* const to = reinterpret_cast<Bytef*>(out.data() + compressed_head);
        if (compress2(to, &bound, from, static_cast<uLong>(message.size()), Z_BEST_SPEED) == Z_OK) {
            out.resize(bound + compressed_head);
            return out;
        }
    }
    return plain + std::string(message);
}

std::optional<std::string> from_datagram(std::string_view datagram)
{
    if (datagram.empty()) {
        return std::nullopt;
    }
    if (datagram.front() == plain) {
        return std::string(datagram.substr(1));
    }
    const auto told =
        datagram.size() > compressed_head ? from_big_endian(datagram.substr(1, length_bytes)) : 0;
    if (datagram.front() != compressed || told == 0 || told > wire::max_message_bytes) {
        return std::nullopt;
    }
    const auto content = datagram.substr(compressed_head);
    std::string out(told, '\0');
    auto length = static_cast<uLongf>(out.size());
    const auto* const from = reinterpret_cast<const Bytef*>(content.data());
    if (uncompress(reinterpret_cast<Bytef*>(out.data()), &length, from,
                   static_cast<uLong>(content.size())) != Z_OK) {
        return std::nullopt;
    }
    out.resize(length);
    return out;
}

} // namespace azureshore::daemon::detail
