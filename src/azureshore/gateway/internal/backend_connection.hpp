#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/gateway/internal/answer_memory.hpp"
#include "azureshore/http1/message_reader.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::gateway::detail {

// How an exchange on a connection ended.
enum class exchange_end : std::uint8_t {
    answered,
    // No connection was made: no byte left.
    not_connected,
    // The connection ended.
    broken,
    // The connection carried bytes that are no answer.
    malformed,
    // The answer is larger than this daemon can hold.
    too_large,
    // There was no memory for the answer, because others have it.
    no_memory,
    timed_out,
};

struct exchange_result {
    exchange_end end = exchange_end::broken;
    http1::response answer;
    // If malformed: the line that shows it, fit for the log.
    std::string line;
};

using exchange_done = std::function<void(exchange_result)>;

// One request and its answer.
struct exchange {
    // The head of the request, or all of it.
    std::string bytes;
    // Sent after `bytes` from where it stands. May be empty.
    std::shared_ptr<const std::string> body;
    bool is_head = false;
    // The caller's identifier, by which `matches` knows the answer; empty if the caller gave none.
    // Nothing for a health check.
    std::optional<std::string> id;
    // Zero waits for as long as the connection holds.
    duration timeout{};
    // Whether an answer is the one to this request; others are skipped, as a backend server may
    // send an answer twice or late.
    std::function<bool(const http1::response&)> matches;
    exchange_done done;
};

// One connection to a backend server, which carries one exchange at a time. Bytes that come when
// no exchange runs belong to no request, and close it.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
public:
    backend_connection(asio::io_context& executor, const asio::ip::tcp::endpoint& peer,
                       std::shared_ptr<answer_memory> answers);

    // Connects first if need be. `done` is called once, never from within.
    void start(exchange next);

    // Closes the connection; the exchange under way gets no end.
    void abandon();

    // Whether it can carry another exchange.
    [[nodiscard]] bool reusable() const;

    // Whether it has carried a request of this identifier. It must not carry another one: a copy of
    // the answer to the first could not be told from the answer to the second.
    [[nodiscard]] bool has_carried(const std::string& id) const;

    // Called when an idle connection closes.
    std::function<void()> closed_idle;

private:
    void connect();
    void write();
    void write_part();
    void read();
    void bytes_came(std::size_t count);
    void take_answers();
    http1::response take_answer();
    [[nodiscard]] exchange_end end_without_room() const;
    void finish(exchange_end end, http1::response answer, std::string line = {});
    void stream_ended(bool at_end);
    void complete_once_taken();
    void await_acknowledgement();
    void close();
    void set_timer(duration wait);

    asio::ip::tcp::socket socket;
    asio::ip::tcp::endpoint where;
    asio::steady_timer timer;
    asio::steady_timer acknowledgement_timer;
    http1::message_reader reader;
    std::array<char, 8192> buffer{};
    std::string pending;
    std::shared_ptr<answer_memory> memory;
    // The part of the answer under way; the answer keeps it.
    std::shared_ptr<answer_memory::share> held;
    std::optional<exchange> current;
    // Hashes of the identifiers of all requests so far.
    std::vector<std::uint64_t> carried;
    bool connected = false;
    bool closed = false;
    // Bytes of the current request that are sent, and whether these are all.
    std::size_t sent = 0;
    bool written = false;
    // The connection failed while the request was written: the end of the stream ends no answer.
    bool write_failed = false;
    // The end of the stream has come, and with it an answer that is whole if the request is taken.
    bool ended = false;
    duration acknowledgement_wait{};
    bool keep = true;
};

} // namespace azureshore::gateway::detail
