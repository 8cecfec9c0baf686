#pragma once

#include "azureshore/net/internal/connection_state.hpp"

#include <asio/bind_executor.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string_view>
#include <utility>

namespace azureshore::net::detail {

// The socket that RESTinio reads callers' requests from. It reads every byte first, answers what
// RESTinio would close on in silence, and tells the shard when a connection closes.
class guarded_socket : public asio::ip::tcp::socket {
public:
    explicit guarded_socket(asio::io_context& executor)
        : asio::ip::tcp::socket(executor),
          registry(&asio::use_service<connection_registry>(executor))
    {
    }

    template <class Buffer, class Handler>
    void async_read_some(const Buffer& buffer, Handler handler)
    {
        this->open_state();
        const auto executor = asio::get_associated_executor(handler);
        asio::ip::tcp::socket::async_read_some(
            buffer,
            asio::bind_executor(executor, [this, buffer, handler = std::move(handler)](
                                              asio::error_code error, std::size_t length) mutable {
                this->after_read(buffer, std::move(handler), error, length);
            }));
    }

    void shutdown(shutdown_type what, asio::error_code& error)
    {
        if (this->state) {
            this->state->closing();
        }
        asio::ip::tcp::socket::shutdown(what, error);
    }

    void close()
    {
        asio::error_code ignored;
        asio::ip::tcp::socket::close(ignored);
        if (this->state) {
            this->state.reset();
            this->registry->close(this->peer);
        }
    }

private:
    // Reading and dropping ends by the server's read timeout at the latest.
    template <class Buffer, class Handler>
    void after_read(const Buffer& buffer, Handler handler, asio::error_code error,
                    std::size_t length)
    {
        if (error && this->state) {
            this->state->peer_closed();
        }
        const auto* const data = static_cast<const char*>(buffer.data());
        if (!error && this->state && !this->state->take({data, length})) {
            this->async_read_some(buffer, std::move(handler));
            return;
        }
        handler(error, length);
    }

    // A socket is made before it is accepted, and moved afterwards.
    void open_state()
    {
        if (!this->state && this->is_open()) {
            asio::error_code ignored;
            this->peer = this->remote_endpoint(ignored);
            this->state = this->registry->open(this->peer, this->native_handle());
        }
    }

    connection_registry* registry;
    std::shared_ptr<connection_state> state;
    asio::ip::tcp::endpoint peer;
};

} // namespace azureshore::net::detail
