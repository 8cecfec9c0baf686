#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"

#include <asio/io_context.hpp>

#include <cstdint>
#include <memory>

namespace azureshore::test_support {

// What becomes of the bytes on a link.
enum class link_state : std::uint8_t {
    passing,
    // Bytes arrive late.
    delayed,
    // Bytes are held, in both directions or in one, until the link passes again.
    silent,
    answers_held,
    requests_held,
    // Connections, old and new, are reset.
    resetting,
};

// A TCP proxy on a loopback port that the kernel chose, for faults between two processes. The
// executor runs on one thread and must outlive its last handler.
class loopback_proxy {
public:
    loopback_proxy(asio::io_context& executor, address target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;
    loopback_proxy(loopback_proxy&&) = delete;
    loopback_proxy& operator=(loopback_proxy&&) = delete;

    [[nodiscard]] address where() const;

    // Changes the link, from any thread; `delay` is that of a delayed link.
    void set(link_state now, duration delay = {});

private:
    class state;
    std::shared_ptr<state> inner;
};

} // namespace azureshore::test_support
