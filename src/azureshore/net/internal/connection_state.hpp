#pragma once

#include "azureshore/net/http_server.hpp"
#include "azureshore/net/internal/message_guard.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace azureshore::net::detail {

// What a shard knows of one open connection.
class connection_state {
public:
    connection_state(int descriptor, std::size_t max_body, const http_server_hooks& calls);

    // Takes bytes that were read. False once the connection is refused: what comes is to be read
    // and dropped, so that the refusal is not lost with it.
    bool take(std::string_view bytes);

    // The read side failed or ended.
    void peer_closed();

    // The server closes the connection; tells the caller that it was too slow if that is why.
    void closing();

    // Closes the connection without an answer.
    void drop();

    // Calls of this connection that are not answered yet.
    std::vector<call_number> calls;

private:
    void refuse(early_refusal why);
    void send(std::string_view bytes) const;

    int native;
    const http_server_hooks& hooks;
    message_guard guard;
    bool refused = false;
    bool ended = false;
};

// The open connections of one shard, reached through its io_context by the sockets.
class connection_registry : public asio::execution_context::service {
public:
    inline static asio::execution_context::id id;
    using endpoint = asio::ip::tcp::endpoint;

    explicit connection_registry(asio::execution_context& owner)
        : asio::execution_context::service(owner)
    {
    }

    void configure(std::size_t body_limit, std::shared_ptr<const http_server_hooks> calls,
                   std::function<void(call_number)> on_gone)
    {
        this->max_body = body_limit;
        this->hooks = std::move(calls);
        this->gone = std::move(on_gone);
    }

    std::shared_ptr<connection_state> open(const endpoint& peer, int native);
    // Nothing for a connection that has closed.
    std::shared_ptr<connection_state> find(const endpoint& peer) const;
    // Reports the calls that will not be answered any more.
    void close(const endpoint& peer);

private:
    void shutdown() override { this->connections.clear(); }

    std::size_t max_body = 0;
    std::shared_ptr<const http_server_hooks> hooks;
    std::function<void(call_number)> gone;
    std::map<endpoint, std::shared_ptr<connection_state>> connections;
};

} // namespace azureshore::net::detail
