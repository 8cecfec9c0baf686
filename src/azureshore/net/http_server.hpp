#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/net/http_client.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::net {

// Names a call within one server.
using call_number = std::uint64_t;

// A request as it came in, whole.
struct http_call {
    call_number number = 0;
    std::string method;
    std::string target;
    std::vector<field> headers;
    std::string body;
    // Peer address as host:port.
    std::string peer;

    // The value of the first header of that name, compared without case; empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
};

// What becomes of an answer on its way; all but `whole` are for tests of callers.
enum class answer_fault : std::uint8_t {
    whole,
    // The body ends one byte before its announced length, and the connection closes.
    cut,
    // The connection closes in place of the answer.
    dropped,
};

// Why a call is refused before it is whole.
enum class early_refusal : std::uint8_t {
    malformed,
    unknown_method,
    // More header bytes or fields than the server takes, or a longer target.
    headers_too_large,
    body_too_large,
    // The read timeout passed.
    too_slow,
};

// An answer to send.
struct http_answer {
    int status = 200;
    std::vector<field> headers;
    std::string body;
    // Whether the connection is closed after the answer.
    bool close = false;
    answer_fault fault = answer_fault::whole;
};

// Sends the answer to one call; may be called from any thread, once. Calls no hook itself.
using responder = std::function<void(http_answer)>;

struct http_server_settings {
    // Port zero takes one that the kernel chooses.
    address where;
    // Each thread has connections of its own.
    std::size_t threads = 1;
    std::size_t max_body = 1024UL * 1024UL;
    // A caller has this long to send a whole request.
    duration read_timeout = std::chrono::seconds(5);
    // Longest time from a call to its answer.
    duration handle_timeout = std::chrono::seconds(60);
};

struct http_server_hooks {
    // A whole request has come. Called on one of the server's threads.
    std::function<void(http_call, responder)> call;
    // The connection of a call that is not answered yet has closed: the caller hung up, or the
    // handle timeout passed. An answer is no longer due. May be empty.
    std::function<void(call_number)> gone;
    // Writes the answer to a call that is refused before it is whole; a plain status if empty.
    std::function<http_answer(early_refusal)> refuse;
};

// The answer to such a call: a status of its own and no body.
http_answer plain_refusal(early_refusal why);

// An HTTP/1.1 server by RESTinio.
class http_server {
public:
    // Listens at once; throws std::system_error when the address can't be had.
    http_server(http_server_settings settings, http_server_hooks hooks);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    http_server(http_server&&) = delete;
    http_server& operator=(http_server&&) = delete;

    // The port in use.
    [[nodiscard]] std::uint16_t port() const;

    // Takes no new connections. Calls under way are still answered; each answer from now on closes
    // its connection. Returns once the port is closed.
    void stop();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::net
