#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/failure.hpp"
#include "azureshore/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

namespace azureshore::net {

struct field {
    std::string name;
    std::string value;
};

// A request to one HTTP/1.1 server.
struct http_request {
    address where;
    std::string method = "GET";
    std::string target = "/";
    std::vector<field> headers;
    std::string body;
    duration timeout = std::chrono::seconds(5);
    std::size_t max_answer_body = 0;
    // Whether the request may go out on a connection that has carried another one. A request that
    // must not be repeated may not: libcurl sends it again on a new connection when a kept one
    // turns out to be closed.
    bool may_reuse_connection = true;
    // A field that the answer should repeat with the same value. When set, a connection is kept for
    // other requests only if its answer did, as a missing or another value may mean that answers
    // on it are late or crossed.
    std::optional<field> echo;
};

// How a request ended.
struct http_result {
    // failure::none when a whole answer came; connection_failed, timed_out, message_oversized or
    // message_malformed when not.
    failure why = failure::internal;
    // Whether a connection was made: when not, no byte of the request left.
    bool connected = false;
    // Whether the connection had carried another request before.
    bool reused_connection = false;
    // Zero when no answer began; also set when one began and was cut short.
    int status = 0;
    std::vector<field> headers;
    std::string body;
    duration elapsed{};

    // The value of the first header of that name, compared without case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

// Names a request that is under way.
using transfer_number = std::uint64_t;

// Sends HTTP requests with libcurl's multi-socket interface on an Asio executor. All calls and
// callbacks happen on that executor's thread. Each request is sent at most once: it ends as
// connection_failed where libcurl would silently send it again. An answer that names no length and
// is ended by the server's close counts as cut short.
class http_client {
public:
    explicit http_client(asio::io_context& executor);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;
    http_client(http_client&&) = delete;
    http_client& operator=(http_client&&) = delete;

    // Starts a request; `done` is called once and never from within `start`, unless the request is
    // cancelled first.
    transfer_number start(http_request request, std::function<void(http_result)> done);

    // Gives a request up and closes its connection; `done` is not called. Returns whether a
    // connection had been made for it, so that its bytes may have left.
    bool cancel(transfer_number transfer);

    // Requests under way.
    [[nodiscard]] std::size_t in_flight() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::net
