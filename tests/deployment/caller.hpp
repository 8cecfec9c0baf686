#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/http1/message.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace azureshore::testing {

// A request as the users' callers send it: a GET when it is idempotent, else a POST.
http1::request make_request(const std::string& id, const std::string& target, bool idempotent,
                            std::chrono::milliseconds deadline);

// A caller with one connection at a time, which it keeps until the other side closes it.
class caller {
public:
    // Sends a request and waits for its answer; nothing when none came whole within `patience`.
    std::optional<http1::response> ask(const address& to, const http1::request& request,
                                       duration patience);

    // The next request opens a new connection.
    void hang_up();

private:
    // Runs what was started until it has ended or `until` has come.
    bool finish(const bool& ended, time_point until);

    asio::io_context executor{1};
    std::optional<asio::ip::tcp::socket> socket;
    address connected_to;
};

} // namespace azureshore::testing
