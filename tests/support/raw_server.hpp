#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace azureshore::test_support {

// One accepted connection, driven by a test's script on a thread of its own.
class raw_connection {
public:
    virtual ~raw_connection() = default;

    // The next whole request, head and body; nothing once the peer has closed.
    virtual std::optional<std::string> read_request() = 0;

    // The head of the next request, and the first bytes of its body; the rest stays unread.
    // Nothing once the peer has closed.
    virtual std::optional<std::string> read_head() = 0;

    // Reads this many further bytes of a body, or until the peer closes.
    virtual void skip(std::size_t bytes) = 0;

    // Reads what has come, up to this many bytes, without waiting for more.
    virtual void skip_available(std::size_t most) = 0;

    // Sends bytes as they are.
    virtual void send(std::string_view bytes) = 0;

    // Closes the sending side alone.
    virtual void finish_sending() = 0;

    // Waits until the peer closes the connection.
    virtual void wait_for_close() = 0;

    // Ends the connection with a reset when the script returns, in place of an orderly close.
    virtual void reset_at_end() = 0;
};

// A TCP server on a kernel-chosen loopback port that does exactly what its script says. The
// connection closes when the script returns.
class raw_server {
public:
    // The script is given each connection with its number, counted from zero.
    explicit raw_server(std::function<void(raw_connection&, int)> script);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    raw_server(raw_server&&) = delete;
    raw_server& operator=(raw_server&&) = delete;

    [[nodiscard]] std::uint16_t port() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

// The value of a header field in a raw request or answer; empty when absent.
std::string field_of(const std::string& message, const std::string& name);

} // namespace azureshore::test_support
