#pragma once

#include "azureshore/core/address.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace azureshore::wire::detail {

// The receiving side of a transport: takes connections and hands on each whole message. Works on
// the executor's thread.
class listener {
public:
    // Listens at `where`; throws transport_error where it can't. `message_received` gets one
    // message at a time.
    listener(asio::io_context& executor, const address& where,
             std::function<void(std::string)> message_received);

    // The address in use.
    [[nodiscard]] const address& where() const { return this->bound; }

    // How many messages were handed on.
    [[nodiscard]] std::uint64_t received() const { return this->received_count; }

private:
    class connection;

    void accept();
    void take(std::string bytes);

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer accept_pause;
    address bound;
    std::function<void(std::string)> hand_on;
    std::atomic<std::uint64_t> received_count{0};
    // Shared with the connections, the last of which end with the executor.
    std::shared_ptr<std::size_t> open_connections = std::make_shared<std::size_t>(0);
};

} // namespace azureshore::wire::detail
