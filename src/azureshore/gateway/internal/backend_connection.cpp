#include "azureshore/gateway/internal/backend_connection.hpp"

#include "azureshore/core/hash.hpp"

#include <asio/buffer.hpp>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace azureshore::gateway::detail {

namespace {

// A whole answer is held until it is sent on; larger ones are broken off.
constexpr http1::reader_limits answer_limits{64UL * 1024UL, answer_memory::max_bytes_for_large / 2};
// Bytes that stay unacknowledged for this long end a connection: its peer has no power or no path.
constexpr int unacknowledged_ms = 2000;
// Bytes of an answer that may wait in the kernel, where they count as this process's memory.
constexpr int receive_buffer_bytes = 128 * 1024;
// Most of a request's body that is sent before other connections have their turn.
constexpr std::size_t most_sent_at_once = 64UL * 1024UL;
// A connection remembers the identifiers of its requests, so it carries no more than these.
constexpr std::size_t max_requests = 256;
constexpr duration connect_limit = std::chrono::milliseconds(1000);
// The time between two looks at what the peer has acknowledged doubles from the first to the second
// of these.
constexpr duration first_acknowledgement_wait = std::chrono::milliseconds(1);
constexpr duration max_acknowledgement_wait = std::chrono::milliseconds(32);

// Asks for the bytes in the send queue that the peer has not acknowledged, as asio's io_control
// wants it.
class unacknowledged_bytes {
public:
    [[nodiscard]] int name() const { return SIOCOUTQ; }
    [[nodiscard]] void* data() { return &this->count; }
    [[nodiscard]] int get() const { return this->count; }

private:
    int count = 0;
};

// Whether the connection has failed, which the kernel tells once.
bool has_failed(asio::ip::tcp::socket& socket)
{
    asio::detail::socket_option::integer<SOL_SOCKET, SO_ERROR> pending;
    asio::error_code error;
    socket.get_option(pending, error);
    return error || pending.value() != 0;
}

} // namespace

backend_connection::backend_connection(asio::io_context& executor,
                                       const asio::ip::tcp::endpoint& peer,
                                       std::shared_ptr<answer_memory> answers)
    : socket(executor), where(peer), timer(executor), acknowledgement_timer(executor),
      reader(http1::message_kind::response, answer_limits), memory(std::move(answers)),
      held(std::make_shared<answer_memory::share>(this->memory))
{
    this->reader.set_memory_check([this](std::size_t bytes) { return this->held->reserve(bytes); });
}

void backend_connection::start(exchange next)
{
    this->current = std::move(next);
    this->written = false;
    this->write_failed = false;
    if (this->current->id) {
        this->carried.push_back(stable_hash(*this->current->id));
    }
    this->reader.expect_no_body(this->current->is_head);
    if (!this->connected) {
        this->connect();
        return;
    }
    this->write();
}

void backend_connection::connect()
{
    const auto limit = this->current->timeout;
    this->set_timer(limit > duration{} ? std::min(limit, connect_limit) : connect_limit);
    // Set before the connection is made, when the window is agreed. An error ends the connecting.
    asio::error_code ignored;
    this->socket.open(this->where.protocol(), ignored);
    this->socket.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    this->socket.async_connect(this->where, [self = this->shared_from_this()](
                                                const asio::error_code& error) {
        if (self->closed) {
            return;
        }
        if (error) {
            self->finish(exchange_end::not_connected, {});
            return;
        }
        self->connected = true;
        asio::error_code unsupported;
        self->socket.non_blocking(true, unsupported);
        self->socket.set_option(asio::ip::tcp::no_delay(true), unsupported);
        using user_timeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
        self->socket.set_option(user_timeout(unacknowledged_ms), unsupported);
        self->write();
        self->read();
    });
}

void backend_connection::write()
{
    if (this->current->timeout > duration{}) {
        this->set_timer(this->current->timeout);
    }
    else {
        // Cancelling is not enough: the handler of an earlier limit may already be queued.
        this->timer.expires_at(asio::steady_timer::time_point::max());
    }
    this->sent = 0;
    this->write_part();
}

// Sends within this call, not by an operation of the executor, so that a failure is known here
// before any later read ends: the kernel reports it to the first call alone, and the read after it
// sees the end of the stream.
void backend_connection::write_part()
{
    const auto& head = this->current->bytes;
    const auto of_head = std::min(this->sent, head.size());
    const auto head_left = asio::buffer(head) + of_head;
    const auto body_left = this->current->body
                               ? asio::buffer(*this->current->body) + (this->sent - of_head)
                               : asio::const_buffer();
    const std::array<asio::const_buffer, 2> parts{head_left,
                                                  asio::buffer(body_left, most_sent_at_once)};
    asio::error_code error;
    this->sent += this->socket.write_some(parts, error);
    if (error && error != asio::error::would_block) {
        // The end is left to the read, unless it has ended: an answer with a length may have come.
        this->write_failed = true;
        if (this->ended) {
            this->finish(exchange_end::broken, {});
        }
        return;
    }
    this->written =
        this->sent == head.size() + (this->current->body ? this->current->body->size() : 0);
    if (this->written) {
        if (this->ended) {
            this->complete_once_taken();
        }
        return;
    }
    this->socket.async_wait(asio::socket_base::wait_write,
                            [self = this->shared_from_this()](const asio::error_code& failed) {
                                if (!failed && !self->closed && self->current) {
                                    self->write_part();
                                }
                            });
}

void backend_connection::read()
{
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t count) {
            if (self->closed) {
                return;
            }
            if (error) {
                self->stream_ended(error == asio::error::eof);
                return;
            }
            self->bytes_came(count);
        });
}

void backend_connection::bytes_came(std::size_t count)
{
    if (!this->current) {
        this->close();
        return;
    }
    if (!this->held->grow(count)) {
        this->finish(this->end_without_room(), {});
        return;
    }
    this->pending.append(this->buffer.data(), count);
    this->take_answers();
    if (!this->closed) {
        this->read();
    }
}

void backend_connection::take_answers()
{
    while (this->current && !this->pending.empty()) {
        const auto used = this->reader.feed(this->pending);
        this->pending.erase(0, used);
        if (this->reader.state() == http1::read_state::need_more) {
            return;
        }
        if (this->reader.state() != http1::read_state::complete) {
            const bool malformed = this->reader.state() == http1::read_state::malformed;
            this->finish(malformed ? exchange_end::malformed : this->end_without_room(), {},
                         malformed ? this->reader.malformed_line() : std::string());
            return;
        }
        auto answer = this->take_answer();
        this->keep = this->keep && answer.keep_alive;
        if (this->current->matches(answer)) {
            // Bytes after the answer, or a request that is not written whole, leave the
            // connection unfit for another exchange.
            this->keep = this->keep && this->pending.empty() && this->written &&
                         this->carried.size() < max_requests;
            this->finish(exchange_end::answered, std::move(answer));
            return;
        }
        this->keep = false;
    }
}

http1::response backend_connection::take_answer()
{
    auto answer = this->reader.take_response();
    answer.memory = std::exchange(this->held, std::make_shared<answer_memory::share>(this->memory));
    return answer;
}

exchange_end backend_connection::end_without_room() const
{
    return this->held->short_of_room() ? exchange_end::no_memory : exchange_end::too_large;
}

void backend_connection::stream_ended(bool at_end)
{
    if (!this->current) {
        this->close();
        return;
    }
    this->keep = false;
    if (at_end && !this->write_failed) {
        this->reader.end_of_stream();
        if (this->reader.state() == http1::read_state::complete) {
            this->ended = true;
            this->acknowledgement_wait = first_acknowledgement_wait;
            if (this->written) {
                this->complete_once_taken();
            }
            return;
        }
    }
    this->finish(exchange_end::broken, {});
}

// An answer that ends with its connection is whole unless the connection fails (RFC 9112, section
// 8). A server that ends while it reads an upload may end the stream in order before the failure,
// so the answer waits until the server's kernel has acknowledged the whole request. A failure by
// then, the limit for unacknowledged bytes among them, shows that the answer was cut short.
void backend_connection::complete_once_taken()
{
    unacknowledged_bytes left;
    asio::error_code error;
    this->socket.io_control(left, error);
    if (error || has_failed(this->socket)) {
        this->finish(exchange_end::broken, {});
        return;
    }
    if (left.get() > 0) {
        this->await_acknowledgement();
        return;
    }
    auto answer = this->take_answer();
    if (this->current->matches(answer)) {
        this->finish(exchange_end::answered, std::move(answer));
        return;
    }
    this->finish(exchange_end::broken, {});
}

void backend_connection::await_acknowledgement()
{
    this->acknowledgement_timer.expires_after(this->acknowledgement_wait);
    this->acknowledgement_wait = std::min(2 * this->acknowledgement_wait, max_acknowledgement_wait);
    this->acknowledgement_timer.async_wait(
        [self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && !self->closed && self->current) {
                self->complete_once_taken();
            }
        });
}

void backend_connection::finish(exchange_end end, http1::response answer, std::string line)
{
    this->timer.cancel();
    this->held->release();
    auto done = std::move(this->current->done);
    this->current.reset();
    if (end != exchange_end::answered || !this->keep) {
        this->close();
    }
    done({end, std::move(answer), std::move(line)});
}

void backend_connection::abandon()
{
    this->current.reset();
    this->closed_idle = nullptr;
    this->close();
}

bool backend_connection::reusable() const
{
    return this->connected && !this->closed && this->keep;
}

bool backend_connection::has_carried(const std::string& id) const
{
    return std::find(this->carried.begin(), this->carried.end(), stable_hash(id)) !=
           this->carried.end();
}

void backend_connection::close()
{
    if (this->closed) {
        return;
    }
    this->closed = true;
    this->held->release();
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->acknowledgement_timer.cancel();
    if (!this->current && this->closed_idle) {
        this->closed_idle();
    }
}

void backend_connection::set_timer(duration wait)
{
    this->timer.expires_after(wait);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        if (!self || error || self->closed || !self->current ||
            self->timer.expiry() > asio::steady_timer::clock_type::now()) {
            return;
        }
        self->finish(self->connected ? exchange_end::timed_out : exchange_end::not_connected, {});
    });
}

} // namespace azureshore::gateway::detail
