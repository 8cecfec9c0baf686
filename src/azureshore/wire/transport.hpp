#pragma once

#include "azureshore/core/address.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace azureshore::wire {

// Largest sequence of bytes that a transport carries: a message with its seal. A peer that sends
// more loses its connection.
constexpr std::size_t max_carried_bytes = 1024UL * 1024UL + 1024UL;

// Thrown where a transport cannot listen; `status` carries failure::connection_failed.
class transport_error : public std::runtime_error {
public:
    explicit transport_error(absl::Status why);

    [[nodiscard]] const absl::Status& status() const { return this->reason; }

private:
    absl::Status reason;
};

// What a transport did since it was made.
struct transport_counts {
    // Messages handed to a connection; one may still be lost when the connection breaks.
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    // Messages dropped because the peer's queue was full.
    std::uint64_t dropped_full = 0;
    // Messages dropped because the peer was away or slow for too long.
    std::uint64_t dropped_late = 0;
    // Messages never sent because they were larger than max_carried_bytes.
    std::uint64_t dropped_oversized = 0;
};

// Carries bytes between entry VMs over TCP, each message after its length. Delivery is best effort:
// a message may be lost when the peer is away or slow, and none is ever waited for.
class transport {
public:
    // Listens at `listen`; port zero takes one that the kernel chooses. `received` is called on
    // the transport's own thread, one message at a time.
    transport(const address& listen, std::function<void(std::string)> received);

    // After this no call of `received` is running and none will come. Must not be called from
    // within `received`.
    ~transport();
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    transport(transport&&) = delete;
    transport& operator=(transport&&) = delete;

    // The address in use.
    [[nodiscard]] address where() const;

    // Sends to the VM that listens at `to`; may be called from any thread and never waits.
    void send(const address& to, std::string bytes);

    // Closes connections to all but these addresses.
    void keep_only(const std::vector<address>& peers);

    [[nodiscard]] transport_counts counts() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::wire
