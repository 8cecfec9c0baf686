#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/net/http_server.hpp"
#include "azureshore/outcomes/request.hpp"
#include "azureshore/proxy/incoming.hpp"

#include <cstdint>
#include <functional>
#include <memory>

namespace azureshore::proxy {

struct front_settings {
    net::http_server_settings server;
    incoming_limits limits;
};

// Called on the server's threads.
struct front_hooks {
    // A request has come; its final word is due by `answer`.
    std::function<void(outcomes::incoming_request)> begin;
    // The caller of a request hung up; no final word is due any more. May be empty.
    std::function<void(request_number)> gone;
    // A call was refused before it became a request. May be empty.
    std::function<void(const outcomes::refusal&)> refused;
};

// Takes callers' requests in over HTTP and gives them their final words.
class front {
public:
    // Listens at once; throws std::system_error when the address can't be had.
    front(front_settings settings, front_hooks hooks);
    ~front();
    front(const front&) = delete;
    front& operator=(const front&) = delete;
    front(front&&) = delete;
    front& operator=(front&&) = delete;

    // Gives a request its final word, from any thread. Does nothing when it has had one or its
    // caller is gone.
    void answer(request_number request, const outcomes::caller_response& word);

    // The port in use.
    [[nodiscard]] std::uint16_t port() const;

    // Requests that wait for their final word.
    [[nodiscard]] std::size_t in_flight() const;

    // Takes no new connections; requests under way still get their final words.
    void stop();

private:
    class state;
    std::unique_ptr<state> inner;
};

// The final word as a caller gets it.
net::http_answer write_final_word(const outcomes::caller_response& word);

} // namespace azureshore::proxy
