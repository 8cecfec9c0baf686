#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/http1/message.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::gateway::detail {

// What one connection may hold besides the request whose answer is due next.
struct read_ahead_limits {
    // Requests whose answers are not sent whole, with the one that is due next.
    std::size_t requests = 16;
    // Bytes that are read behind the request whose answer is due next.
    std::size_t request_bytes = 64UL * 1024UL;
    // Bytes of the bodies of answers that wait for their turn. No further request is begun beyond
    // this.
    std::size_t answer_bytes = 1024UL * 1024UL;
};

// What the queue has to know of a request.
struct queued_request {
    request_number number;
    // Bytes on the wire.
    std::size_t bytes = 0;
    bool is_head = false;
    // Whether the caller keeps the connection after the answer.
    bool keep_alive = true;
};

// An answer as it is written: its body stands apart, so that it needs no copy.
struct answer_parts {
    std::string head;
    // Empty if the answer is sent without it.
    std::string body;
};

// The requests of one connection whose answers are not sent whole, in the order in which they came.
// Keeps answers that are ready until those before them are sent.
class exchange_queue {
public:
    explicit exchange_queue(read_ahead_limits most = {});

    [[nodiscard]] bool empty() const;
    [[nodiscard]] std::size_t size() const;

    // Whether another request may be begun as far as the limits are concerned.
    [[nodiscard]] bool has_room() const;

    // Bytes of the requests behind the one whose answer is due next.
    [[nodiscard]] std::size_t bytes_behind_first() const;

    void add(const queued_request& request);

    // Adds an answer of this daemon to bytes that are no request to pass on. It closes the
    // connection.
    void add_refusal(http1::response refusal);

    // Returns false if the request is unknown or has its answer.
    bool answer(request_number number, http1::response answer);

    // Whether the answer that is due next is there.
    [[nodiscard]] bool answer_is_due() const;

    // Hands over the bytes of the answer that is due next, whose memory the connection accounts for
    // from then on, and decides whether it closes the connection. While the daemon stops, only the
    // last one does: the others are answered on this connection or not at all.
    answer_parts write_first(bool daemon_keeps_connections);

    // To be called when these bytes are sent. Returns whether the connection is kept.
    bool first_is_sent();

    // Removes all and returns those without an answer.
    std::vector<request_number> clear();

private:
    struct exchange {
        queued_request request;
        std::optional<http1::response> answer;
        // Of the body of the answer.
        std::size_t answer_bytes = 0;
        bool is_refusal = false;
    };

    read_ahead_limits limits;
    std::deque<exchange> exchanges;
    std::size_t request_bytes = 0;
    std::size_t answer_bytes = 0;
};

} // namespace azureshore::gateway::detail
