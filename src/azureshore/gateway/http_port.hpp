#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/http1/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace asio {
class io_context;
}

namespace azureshore::gateway {

namespace detail {
class request_memory;
}

// What the callers of a port may take together.
struct http_port_capacity {
    // Accounts for their messages; the port has a small account of its own when empty.
    std::shared_ptr<detail::request_memory> memory;
    // Open connections; beyond them, idle ones and those without a whole request are closed.
    std::size_t connections = 128;
};

// Called on the executor's thread.
struct http_port_hooks {
    // A whole request has come, the last byte of it at this time; one answer is due, unless the
    // caller leaves first.
    std::function<void(request_number, http1::request, time_point arrived)> request;
    // The connection of a request without an answer has closed. May be empty.
    std::function<void(request_number)> gone;
    // Whether a request may run before those ahead of it on its connection are answered. It may
    // then run although its connection closes before its turn, and its caller sends it again. If
    // empty, none may.
    std::function<bool(const http1::request&)> may_run_concurrently;
    // A request was refused before it was whole, with this status and for this cause, which refers
    // to a string literal. May be empty.
    std::function<void(int status, std::string_view cause)> rejected;
};

// Counters of requests that callers send before earlier ones are answered.
struct pipeline_counts {
    // Requests that were begun before those ahead of them were answered.
    std::uint64_t begun_early = 0;
    // Requests of these whose connection was closed by the answer to an earlier one.
    std::uint64_t cut_off = 0;
};

// An HTTP/1.1 server on one address. Unlike a server that hands out requests and forgets them, it
// keeps reading while a request runs, so it knows at once when a caller leaves. Requests of one
// connection may run concurrently; their answers are sent in the order of the requests.
class http_port {
public:
    // Listens at once; throws std::system_error when the address can't be had.
    http_port(asio::io_context& executor, const address& where, http_port_hooks hooks,
              http_port_capacity capacity = {});
    ~http_port();
    http_port(const http_port&) = delete;
    http_port& operator=(const http_port&) = delete;
    http_port(http_port&&) = delete;
    http_port& operator=(http_port&&) = delete;

    // Does nothing for a request whose caller has left.
    void answer(request_number request, http1::response answer);

    // Sets the operators' limits. A request that has begun may use the larger of the new and the
    // previous ones. Until the first call, a request that is too large for the default ones is
    // refused with 503, since the operators may allow it.
    void set_limits(const balance::caller_limits& limits);

    // Each answer from now on closes its connection, except that requests which have been begun
    // behind it are answered first.
    void stop_keeping();

    // Takes no new connections and closes those without a request.
    void stop();

    [[nodiscard]] std::uint16_t port() const;

    // Requests without an answer, and answers that are not sent whole.
    [[nodiscard]] std::size_t in_flight() const;

    // Connections, and how many were closed to make room for others.
    [[nodiscard]] std::size_t open_connections() const;
    [[nodiscard]] std::uint64_t closed_for_room() const;

    [[nodiscard]] pipeline_counts pipelines() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::gateway
