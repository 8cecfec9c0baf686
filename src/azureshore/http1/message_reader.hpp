#pragma once

#include "azureshore/http1/message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace azureshore::http1 {

// What the reader knows after the bytes that it was given.
enum class read_state : std::uint8_t {
    need_more,
    complete,
    malformed,
    header_too_large,
    body_too_large,
    // The memory for the body was refused.
    no_memory,
};

struct reader_limits {
    // Most bytes of the start line and the header fields on the wire, without the empty line that
    // ends them.
    std::size_t max_header_bytes = 16UL * 1024UL;
    std::size_t max_body_bytes = 1024UL * 1024UL;
};

enum class message_kind : std::uint8_t { request, response };

// Reads one message after the other from the bytes of a connection, and passes over interim answers
// before a response: up to eight, which count towards the limit of its header. A response whose
// head fails answer_head_check is malformed as soon as that shows. Requests with both a length and
// chunks, and chunks under any other coding, are malformed: two readers could frame them
// differently.
class message_reader {
public:
    message_reader(message_kind kind, reader_limits limits);
    ~message_reader();
    message_reader(const message_reader&) = delete;
    message_reader& operator=(const message_reader&) = delete;
    message_reader(message_reader&&) = delete;
    message_reader& operator=(message_reader&&) = delete;

    // Takes the next bytes and says how many of them belong to the message under way; those after
    // a complete message are left for the next one.
    std::size_t feed(std::string_view bytes);

    // The peer has closed its side: completes a response that ends with its connection.
    void end_of_stream();

    [[nodiscard]] read_state state() const;

    // Whether any byte of the message under way has come, and whether its header has come whole.
    [[nodiscard]] bool begun() const;
    [[nodiscard]] bool header_complete() const;

    // Whether the sender of the request waits for 100 Continue before it sends the body.
    [[nodiscard]] bool expects_continue() const;

    // The line that makes the head of a response malformed, without the value of a field; the
    // status line if the fault is elsewhere. At most 64 characters, fit for the log.
    [[nodiscard]] std::string malformed_line() const;

    // The message, once complete; the reader starts on the next one.
    request take_request();
    response take_response();

    // Limits for the rest of the message under way and for those to come.
    void set_limits(reader_limits limits);

    // Asked before memory is taken for a body: with the whole of an announced length, and with
    // twice the bytes so far when a body of unknown length has to grow, as it is copied then. The
    // number is that of all bytes that the message takes from then on; false ends the message with
    // `no_memory`. Must not throw.
    void set_memory_check(std::function<bool(std::size_t message_bytes)> may_take);

    // Drops what came of the message under way, and its memory.
    void discard();

    // Bytes of memory that the message under way takes, with what was granted for its body.
    [[nodiscard]] std::size_t held_bytes() const;

    // Before a response is read: whether it answers a HEAD request and so has no body.
    void expect_no_body(bool none);

private:
    class parser;
    std::unique_ptr<parser> inner;
};

} // namespace azureshore::http1
