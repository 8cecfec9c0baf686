#include "azureshore/daemon/internal/peer_socket.hpp"

#include <asio/buffer.hpp>

#include <utility>

namespace azureshore::daemon::detail {

using asio::ip::udp;

peer_socket::peer_socket(asio::io_context& executor, const address& where,
                         std::function<void(std::string_view)> taken)
    : socket(executor, udp::endpoint(asio::ip::make_address(where.host), where.port)),
      received(std::move(taken))
{
    this->socket.non_blocking(true);
    this->receive();
}

void peer_socket::send(const address& to, std::string_view bytes)
{
    asio::error_code parse_error;
    const auto host = asio::ip::make_address(to.host, parse_error);
    if (parse_error || bytes.size() > most_bytes) {
        return;
    }
    // A datagram that can't be sent counts as lost: whoever needs it asks the store.
    asio::error_code ignored;
    this->socket.send_to(asio::buffer(bytes), udp::endpoint(host, to.port), 0, ignored);
}

void peer_socket::receive()
{
    this->socket.async_receive_from(asio::buffer(this->buffer), this->sender,
                                    [this](const asio::error_code& error, std::size_t count) {
                                        if (error == asio::error::operation_aborted) {
                                            return;
                                        }
                                        if (!error) {
                                            this->received(
                                                std::string_view(this->buffer.data(), count));
                                        }
                                        this->receive();
                                    });
}

} // namespace azureshore::daemon::detail
