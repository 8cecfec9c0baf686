#pragma once

#include "azureshore/net/http_server.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

namespace azureshore::net::detail {

// Most that the header of one request may hold.
inline constexpr std::size_t max_target_bytes = 8UL * 1024UL;
inline constexpr std::size_t max_header_bytes = 32UL * 1024UL;
inline constexpr std::size_t max_header_fields = 100;

// Reads the bytes of one connection ahead of the server and finds what must be refused: requests
// that are malformed, too large, or framed in a way that two readers could take differently.
// RESTinio closes on such bytes without an answer.
class message_guard {
public:
    explicit message_guard(std::size_t max_body);
    ~message_guard();
    message_guard(const message_guard&) = delete;
    message_guard& operator=(const message_guard&) = delete;
    message_guard(message_guard&&) = delete;
    message_guard& operator=(message_guard&&) = delete;

    // Takes the next bytes; gives a refusal for the first fault.
    std::optional<early_refusal> read(std::string_view bytes);

    // Whether a request has begun and is not whole yet.
    [[nodiscard]] bool inside_message() const;

    // Whether the caller waits for 100 Continue before it sends the body; true once for a request.
    bool take_continue();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::net::detail
