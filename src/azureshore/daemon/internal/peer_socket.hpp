#pragma once

#include "azureshore/core/address.hpp"

#include <asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string_view>

namespace azureshore::daemon::detail {

// Datagrams between daemons. They may be lost, doubled and reordered, and sending never waits.
class peer_socket {
public:
    // Throws std::system_error when the address can't be had.
    peer_socket(asio::io_context& executor, const address& where,
                std::function<void(std::string_view)> received);

    // The largest payload of a datagram over IPv4.
    static constexpr std::size_t most_bytes = 65507;

    // Larger datagrams are not sent.
    void send(const address& to, std::string_view bytes);

private:
    void receive();

    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint sender;
    std::function<void(std::string_view)> received;
    std::array<char, most_bytes> buffer{};
};

} // namespace azureshore::daemon::detail
