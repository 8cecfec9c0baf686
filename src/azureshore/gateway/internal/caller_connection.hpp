#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/gateway/internal/exchange_queue.hpp"
#include "azureshore/http1/message_reader.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azureshore::gateway::detail {

class caller_connection;

// What a caller's connection needs of the port that it belongs to; the port outlives it.
class caller_owner {
public:
    caller_owner() = default;
    caller_owner(const caller_owner&) = delete;
    caller_owner& operator=(const caller_owner&) = delete;
    caller_owner(caller_owner&&) = delete;
    caller_owner& operator=(caller_owner&&) = delete;
    virtual ~caller_owner() = default;

    virtual request_number request_came(const std::shared_ptr<caller_connection>& from) = 0;
    // `arrived` is when the last byte of the request was read.
    virtual void handle(request_number number, http1::request request, time_point arrived) = 0;
    virtual void caller_left(request_number number) = 0;
    // Whether a request may run before those ahead of it on its connection are answered.
    [[nodiscard]] virtual bool may_run_concurrently(const http1::request& request) const = 0;
    // A request was begun before those ahead of it were answered.
    virtual void begun_early() = 0;
    // An answer closed its connection before these requests that had been begun behind it.
    virtual void cut_off(std::size_t requests) = 0;
    virtual void rejected(int status, std::string_view cause) = 0;
    virtual void closed(const std::shared_ptr<caller_connection>& which) = 0;
    [[nodiscard]] virtual const balance::caller_limits& limits() const = 0;
    // Whether an operator has set the limits.
    [[nodiscard]] virtual bool limits_known() const = 0;
    [[nodiscard]] virtual bool keeps_connections() const = 0;
};

// One connection of a caller. It reads further requests while earlier ones run, begins those that
// may run concurrently, and sends the answers in the order of the requests. Any other request is
// held until all before it are answered and the connection is kept, so that one which may not run
// twice never runs on a connection that closes before its turn.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(asio::ip::tcp::socket accepted, caller_owner& port);

    void start();
    void answer(request_number number, http1::response answer);
    void close_if_idle();
    void close();

    // Requests that are read, waiting or being answered.
    [[nodiscard]] std::size_t in_flight() const;

private:
    enum class phase { open, lingering, closed };

    // A whole request with what its connection knows of it.
    struct whole_request {
        http1::request request;
        time_point arrived;
        std::size_t bytes = 0;
    };

    void read();
    void bytes_came(std::size_t count);
    [[nodiscard]] std::size_t bytes_ahead() const;
    [[nodiscard]] bool may_parse() const;
    void take_bytes();
    void update_limits();
    void message_ended();
    void request_complete();
    void begin(whole_request next);
    void reject(int status, std::string_view cause, std::vector<net::field> fields = {});
    void reject_too_large(int status, std::string_view cause);
    void send_continue();
    void send_next();
    void write(std::string bytes, void (caller_connection::*then)());
    void continue_sent();
    void answer_sent();
    void linger();
    void drop_requests();
    void peer_ended();
    void set_timer(asio::steady_timer& which, duration wait, void (caller_connection::*expired)());
    static void stop_timer(asio::steady_timer& which);
    void set_read_timer(duration wait);
    void read_timer_expired();
    void update_read_timer();
    void stop_read_timer();

    asio::ip::tcp::socket socket;
    caller_owner& owner;
    // Limits the time that a caller takes to send a request, or to send the next one.
    asio::steady_timer read_timer;
    // Limits the time that a caller takes to read an answer.
    asio::steady_timer write_timer;
    // Limits of the request that is being read.
    http1::reader_limits allowed;
    http1::message_reader reader;
    // Bytes of the request that is being read.
    std::size_t message_bytes = 0;
    std::array<char, 8192> buffer{};
    // Bytes that came and are not parsed yet, and when the last of them came.
    std::string pending;
    time_point last_read;
    // Requests that have been begun.
    exchange_queue exchanges;
    // A request that has come whole and waits for the answers to those before it.
    std::optional<whole_request> held;
    std::string outgoing;
    phase now = phase::open;
    bool reading = false;
    bool writing = false;
    // No further request is read: the last one closes the connection.
    bool no_more_requests = false;
    bool continue_written = false;
    bool header_timer = false;
    bool body_timer = false;
};

} // namespace azureshore::gateway::detail
