#include "azureshore/wire/internal/peer.hpp"

#include "azureshore/core/big_endian.hpp"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace azureshore::wire::detail {

using asio::ip::tcp;

namespace {

// Pauses between attempts to connect to a peer that is away; the pause doubles from the first to
// the second.
constexpr duration min_reconnect_pause = std::chrono::milliseconds(50);
constexpr duration max_reconnect_pause = std::chrono::seconds(1);

// An attempt to connect is given up after this long: longer than a handshake with one packet lost.
constexpr duration connect_patience = std::chrono::seconds(2);

} // namespace

peer::peer(asio::io_context& on, address to, peer_counts& shared_counts)
    : executor(on), target(std::move(to)), counts(shared_counts), resolver(on), socket(on),
      timer(on), reconnect_pause(min_reconnect_pause)
{
}

peer::~peer()
{
    this->counts.dropped_late += this->queue.size();
}

void peer::send(std::string bytes)
{
    const auto now = steady_now();
    {
        const std::lock_guard lock(this->mutex);
        this->drop_stale(now);
        const bool full = this->queue.size() >= max_queued_messages ||
                          this->queued_bytes + bytes.size() > max_queued_bytes;
        if (this->closed || full) {
            ++this->counts.dropped_full;
            return;
        }
        this->queued_bytes += bytes.size();
        this->queue.push_back({std::move(bytes), now});
        if (std::exchange(this->busy, true)) {
            return;
        }
    }
    asio::post(this->executor, [self = this->shared_from_this()] { self->send_next(); });
}

void peer::close()
{
    {
        const std::lock_guard lock(this->mutex);
        this->closed = true;
    }
    asio::post(this->executor, [self = this->shared_from_this()] {
        self->timer.cancel();
        self->resolver.cancel();
        self->disconnect();
    });
}

void peer::drop_stale(time_point now)
{
    while (!this->queue.empty() && now - this->queue.front().since >= max_queue_age) {
        this->queued_bytes -= this->queue.front().bytes.size();
        this->queue.pop_front();
        ++this->counts.dropped_late;
    }
}

bool peer::take_next()
{
    const std::lock_guard lock(this->mutex);
    this->drop_stale(steady_now());
    if (this->closed || this->queue.empty()) {
        this->busy = false;
        return false;
    }
    this->current = std::move(this->queue.front());
    this->queue.pop_front();
    this->queued_bytes -= this->current.bytes.size();
    return true;
}

void peer::send_next()
{
    if (!this->established) {
        this->connect();
    }
    else if (this->take_next()) {
        this->write();
    }
}

void peer::connect()
{
    {
        const std::lock_guard lock(this->mutex);
        this->drop_stale(steady_now());
        if (this->closed || this->queue.empty()) {
            this->busy = false;
            return;
        }
    }
    this->after(connect_patience, [this] {
        this->resolver.cancel();
        this->disconnect();
    });
    this->resolver.async_resolve(
        this->target.host, std::to_string(this->target.port),
        [self = this->shared_from_this(), number = this->connection](
            const asio::error_code& error, const tcp::resolver::results_type& found) {
            if (error || self->connection != number) {
                self->connect_failed();
                return;
            }
            asio::async_connect(self->socket, found,
                                [self](const asio::error_code& failed, const tcp::endpoint&) {
                                    failed ? self->connect_failed() : self->connected();
                                });
        });
}

void peer::connect_failed()
{
    this->disconnect();
    this->after(this->reconnect_pause, [this] { this->send_next(); });
    this->reconnect_pause = std::min(this->reconnect_pause * 2, max_reconnect_pause);
}

void peer::connected()
{
    asio::error_code ignored; // Only costs delay where the option can't be set.
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->timer.cancel();
    this->reconnect_pause = min_reconnect_pause;
    this->established = true;
    // A peer sends nothing back: when this can be read, the peer has closed.
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), number = ++this->connection](const asio::error_code&) {
            if (self->connection == number) {
                self->disconnect();
            }
        });
    this->send_next();
}

void peer::write()
{
    this->after(max_queue_age, [this] { this->disconnect(); });
    this->head = to_big_endian(this->current.bytes.size(), frame_head_bytes);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(this->head),
                                                  asio::buffer(this->current.bytes)};
    asio::async_write(this->socket, parts,
                      [self = this->shared_from_this()](const asio::error_code& error,
                                                        std::size_t) { self->written(error); });
}

void peer::written(const asio::error_code& error)
{
    this->timer.cancel();
    if (error) {
        ++this->counts.dropped_late;
        this->disconnect();
    }
    else {
        ++this->counts.sent;
    }
    this->current = {};
    this->send_next();
}

void peer::disconnect()
{
    ++this->connection;
    this->established = false;
    asio::error_code ignored; // The socket is given back whatever close reports.
    this->socket.close(ignored);
}

void peer::after(duration pause, std::function<void()> then)
{
    this->timer.expires_after(pause);
    this->timer.async_wait(
        [self = this->shared_from_this(), then = std::move(then)](const asio::error_code& error) {
            if (!error) {
                then();
            }
        });
}

} // namespace azureshore::wire::detail
