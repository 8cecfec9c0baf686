#pragma once

#include "azureshore/balance/dispatch_types.hpp"
#include "azureshore/gateway/dialect.hpp"
#include "azureshore/http1/message.hpp"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace azureshore::gateway {

namespace detail {
class request_memory;
}

using probe_done = std::function<void(const std::optional<balance::probe_result>&)>;
// The answer is empty unless the attempt was answered.
using attempt_done = std::function<void(const balance::attempt_result&, http1::response)>;

// Bytes of a backend server that are no answer.
struct malformed_answer {
    backend_id backend;
    // The identifier that the caller gave the request; empty for a probe.
    std::string request;
    // At most 64 printable characters.
    std::string line;
};

// Connections to backend servers, kept open between requests. A probe keeps its connection for
// the attempt that may follow, so an attempt starts on a connection that has just answered.
class backend_pool {
public:
    // Answers are held in `memory`. `malformed` is told of each answer that can't be read, before
    // its probe or attempt ends.
    backend_pool(asio::io_context& executor, dialect words,
                 std::shared_ptr<detail::request_memory> memory,
                 std::function<void(const malformed_answer&)> malformed);
    ~backend_pool();
    backend_pool(const backend_pool&) = delete;
    backend_pool& operator=(const backend_pool&) = delete;
    backend_pool(backend_pool&&) = delete;
    backend_pool& operator=(backend_pool&&) = delete;

    // `done` is called once, never from within.
    void probe(const balance::probe_order& order, probe_done done);

    // The probe's connection may carry something else.
    void release(balance::probe_number probe);

    // Sends a caller's request; its header fields are completed here. The request is held until its
    // body is written.
    void send(const balance::attempt_order& order,
              const std::shared_ptr<const http1::request>& request, attempt_done done);

    // Closes the attempt's connection; `done` is not called any more.
    void cancel(attempt_number attempt);

    // Closes the idle connections to a backend server that is gone.
    void forget(const backend_id& backend);

    // Connections that were opened so far.
    [[nodiscard]] std::uint64_t opened() const;

    // Bytes of answers that are being read or wait for their callers.
    [[nodiscard]] std::size_t held_bytes() const;

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::gateway
