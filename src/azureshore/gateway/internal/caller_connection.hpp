#pragma once

#include "azureshore/balance/traffic_configuration.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/gateway/internal/connection_limit.hpp"
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
    virtual void handle(request_number number, http1::request request) = 0;
    virtual void caller_left(request_number number) = 0;
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

// One connection of a caller: reads a request, waits for its answer, sends it, and reads the next.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(asio::ip::tcp::socket accepted, caller_owner& port);

    void start();
    void answer(http1::response answer);
    void close_if_idle();
    void close();

    // Whether no request is read, waiting or being answered.
    [[nodiscard]] bool idle() const;

private:
    enum class phase { reading, waiting, writing, lingering, closed };

    void read();
    void bytes_came(std::size_t count);
    void take_bytes();
    void update_limits();
    void request_complete();
    void reject(int status, std::string_view cause, std::vector<net::field> fields = {});
    void reject_too_large(int status, std::string_view cause);
    void reject_no_memory();
    [[nodiscard]] bool may_read_ahead();
    [[nodiscard]] std::shared_ptr<memory_share> new_share() const;
    void write(std::string head, std::string body);
    void written();
    void linger();
    void peer_ended();
    void set_timer(duration wait);
    void timer_expired();
    void timer_for_request();

    asio::ip::tcp::socket socket;
    caller_owner& owner;
    asio::steady_timer timer;
    // Limits of the request that is being read.
    http1::reader_limits allowed;
    http1::message_reader reader;
    std::array<char, 8192> buffer{};
    // Bytes that came and are not parsed yet.
    std::string pending;
    std::string outgoing_head;
    std::string outgoing_body;
    std::size_t sent = 0;
    // What the request that is read takes, with bytes read ahead; a whole request keeps it.
    std::shared_ptr<memory_share> incoming_share;
    memory_share outgoing_share;
    std::optional<connection_limit::place> place;
    std::size_t dropped = 0;
    phase now = phase::reading;
    bool reading = false;
    bool close_after = false;
    bool to_head = false;
    bool continue_sent = false;
    bool header_timer = false;
    bool body_timer = false;
    std::optional<request_number> request;
};

} // namespace azureshore::gateway::detail
