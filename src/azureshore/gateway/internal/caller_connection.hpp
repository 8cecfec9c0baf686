#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/gateway/internal/connection_limit.hpp"
#include "azureshore/gateway/internal/exchange_queue.hpp"
#include "azureshore/gateway/internal/request_memory.hpp"
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
    // The account of what callers' messages take, and the bound of their connections.
    [[nodiscard]] virtual const std::shared_ptr<request_memory>& memory() const = 0;
    virtual connection_limit& connections_bound() = 0;
};

// One connection of a caller. It reads further requests while earlier ones run, begins those that
// may run concurrently, and sends the answers in the order of the requests. Any other request is
// held until all before it are answered and the connection is kept, so that one which may not run
// twice never runs on a connection that closes before its turn.
//
// What it reads and writes is in the account of memory. When room runs short there, a request that
// has stopped arriving is refused behind the answers to those before it, and the connection of a
// caller that doesn't read an answer is closed.
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
    [[nodiscard]] bool may_read();
    [[nodiscard]] bool take_memory(std::size_t bytes);
    [[nodiscard]] std::shared_ptr<memory_share> new_share() const;
    [[nodiscard]] http1::read_state feed_reader(std::string_view bytes, std::size_t& used);
    [[nodiscard]] std::size_t bytes_ahead() const;
    [[nodiscard]] bool may_parse() const;
    void take_bytes();
    void update_limits();
    void message_ended();
    void request_complete();
    void begin(whole_request next);
    void reject(int status, std::string_view cause, std::vector<net::field> fields = {});
    void reject_too_large(int status, std::string_view cause);
    void reject_no_memory();
    void may_stall();
    void request_stalled();
    void answer_stalled();
    void send_continue();
    void send_next();
    void write(answer_parts parts, void (caller_connection::*then)());
    [[nodiscard]] std::size_t note_sent(const asio::error_code& error, std::size_t total);
    void written(const asio::error_code& error, void (caller_connection::*then)());
    void continue_sent();
    void answer_sent();
    void linger();
    void drop_requests();
    void drop_input();
    void update_place();
    void peer_ended();
    void end();
    void report_end();
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
    answer_parts outgoing;
    // Bytes of it that are sent.
    std::size_t sent = 0;
    // What the request that is being read takes, with the bytes behind it; a whole request keeps
    // it.
    std::shared_ptr<memory_share> incoming_share;
    memory_share outgoing_share;
    std::optional<connection_limit::place> place;
    // Requests without an answer when the connection ended, until the owner is told.
    std::vector<request_number> unanswered;
    // Bytes that came while lingering.
    std::size_t dropped = 0;
    phase now = phase::open;
    bool reading = false;
    bool writing = false;
    // The reader is taking bytes of `pending`: neither may be changed.
    bool parsing = false;
    // The request that is being read may be refused when memory runs short.
    bool stall_watched = false;
    bool end_reported = false;
    // No further request is read: the last one closes the connection.
    bool no_more_requests = false;
    bool continue_written = false;
    bool header_timer = false;
    bool body_timer = false;
};

} // namespace azureshore::gateway::detail
