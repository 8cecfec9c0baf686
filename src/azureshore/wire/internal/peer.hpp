#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace azureshore::wire::detail {

// A peer's queue holds at most this much; what comes on top is dropped.
constexpr std::size_t max_queued_messages = 256;
constexpr std::size_t max_queued_bytes = 4UL * 1024UL * 1024UL;

// A message that could not leave for this long is dropped: the decisions it carries are stale. A
// write that takes as long closes its connection.
constexpr auto max_queue_age = std::chrono::seconds(2);

// Bytes before each message: its length, the highest byte first.
constexpr std::size_t frame_head_bytes = 4;

// What all peers of one transport count together.
struct peer_counts {
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped_full{0};
    std::atomic<std::uint64_t> dropped_late{0};
};

// The sending side towards one peer: one connection and a bounded queue. Everything but `send` and
// `close` runs on the executor's thread.
class peer : public std::enable_shared_from_this<peer> {
public:
    peer(asio::io_context& executor, address to, peer_counts& shared_counts);
    ~peer();
    peer(const peer&) = delete;
    peer& operator=(const peer&) = delete;
    peer(peer&&) = delete;
    peer& operator=(peer&&) = delete;

    // Queues a message, from any thread.
    void send(std::string bytes);

    // Closes the connection and drops what is queued, from any thread.
    void close();

private:
    struct queued {
        std::string bytes;
        time_point since;
    };

    void drop_stale(time_point now);
    // Takes the next message, or marks this peer idle.
    bool take_next();
    void send_next();
    void connect();
    void connected();
    void connect_failed();
    void write();
    void written(const asio::error_code& error);
    void disconnect();
    // Calls `then` after `pause`, unless another wait or a cancellation replaces it.
    void after(duration pause, std::function<void()> then);

    asio::io_context& executor;
    address target;
    peer_counts& counts;
    asio::ip::tcp::resolver resolver;
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    duration reconnect_pause;
    // Tells the connection in use from earlier ones, whose handlers may still come.
    std::uint64_t connection = 0;
    bool established = false;
    std::string head;
    queued current;
    std::mutex mutex;
    std::deque<queued> queue;
    std::size_t queued_bytes = 0;
    // Whether a message is on its way or a connection is being made.
    bool busy = false;
    bool closed = false;
};

} // namespace azureshore::wire::detail
