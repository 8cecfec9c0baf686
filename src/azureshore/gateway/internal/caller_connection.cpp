#include "azureshore/gateway/internal/caller_connection.hpp"

#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace azureshore::gateway::detail {

namespace {

constexpr int status_bad_request = 400;
constexpr int status_request_timeout = 408;
constexpr int status_content_too_large = 413;
constexpr int status_header_too_large = 431;
constexpr int status_unavailable = 503;
// Seconds until a daemon that has just started is likely to have a configuration.
constexpr std::string_view retry_after_start = "0.1";
// Seconds in which some of the bodies that take all memory are likely to have been passed on.
constexpr std::string_view retry_after_memory = "0.3";

// How long a closing connection is read, so that the answer is not lost by a reset.
constexpr duration linger_time = std::chrono::milliseconds(500);
constexpr std::size_t linger_bytes = 4UL * 1024UL * 1024UL;
// A larger buffer isn't kept once it is empty.
constexpr std::size_t kept_buffer_bytes = 2UL * 1024UL;
// Bytes that a caller may send ahead of the answer to its request; more is left in the socket.
constexpr std::size_t most_ahead = 64UL * 1024UL;
// A body may take this many times longer than a header.
constexpr int body_patience = 4;
// An answer that its caller doesn't read is given up after this time.
constexpr duration write_limit = std::chrono::seconds(20);

// Clearing or assigning would keep the memory.
void free_bytes(std::string& of)
{
    std::string().swap(of);
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket accepted, caller_owner& port)
    : socket(std::move(accepted)), owner(port), timer(this->socket.get_executor()),
      reader(http1::message_kind::request, this->allowed), incoming_share(this->new_share()),
      outgoing_share(port.memory())
{
    this->reader.set_memory_check([this](std::size_t bytes) {
        return this->incoming_share->resize(bytes + this->pending.size());
    });
}

std::shared_ptr<memory_share> caller_connection::new_share() const
{
    return std::make_shared<memory_share>(this->owner.memory());
}

void caller_connection::start()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->set_timer(this->owner.limits().idle_timeout);
    this->place.emplace(this->owner.connections_bound(), [this] { this->close(); });
    this->read();
}

bool caller_connection::idle() const
{
    return this->now == phase::closed || this->now == phase::lingering ||
           (this->now == phase::reading && !this->reader.begun());
}

void caller_connection::read()
{
    if (this->reading || this->now == phase::closed || !this->may_read_ahead()) {
        return;
    }
    this->reading = true;
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t count) {
            self->reading = false;
            if (self->now == phase::closed) {
                return;
            }
            if (error) {
                self->peer_ended();
                return;
            }
            self->bytes_came(count);
        });
}

// A request that is read has its memory checked as it is parsed.
bool caller_connection::may_read_ahead()
{
    return this->now == phase::reading || this->now == phase::lingering ||
           (this->pending.size() < most_ahead &&
            this->incoming_share->resize(this->pending.size() + this->buffer.size()));
}

void caller_connection::bytes_came(std::size_t count)
{
    if (this->now == phase::lingering) {
        this->dropped += count;
        if (this->dropped > linger_bytes) {
            this->close();
            return;
        }
    }
    else {
        this->pending.append(this->buffer.data(), count);
    }
    if (this->now == phase::reading) {
        this->incoming_share->progressed(count);
        this->take_bytes();
    }
    this->read();
}

void caller_connection::take_bytes()
{
    this->update_limits();
    const auto used = this->reader.feed(this->pending);
    this->pending.erase(0, used);
    if (this->pending.empty() && this->pending.capacity() > kept_buffer_bytes) {
        free_bytes(this->pending);
    }
    const auto state = this->reader.state();
    const bool sound =
        state == http1::read_state::need_more || state == http1::read_state::complete;
    if (sound && !this->incoming_share->resize(this->reader.held_bytes() + this->pending.size())) {
        this->reject_no_memory();
        return;
    }
    switch (state) {
    case http1::read_state::need_more:
        this->timer_for_request();
        return;
    case http1::read_state::complete:
        this->request_complete();
        return;
    case http1::read_state::no_memory:
        this->reject_no_memory();
        return;
    case http1::read_state::malformed:
        this->reject(status_bad_request, "malformed");
        return;
    case http1::read_state::header_too_large:
        this->reject_too_large(status_header_too_large, "header_too_large");
        return;
    case http1::read_state::body_too_large:
        this->reject_too_large(status_content_too_large, "body_too_large");
        return;
    }
}

// New limits may come while a request is read; what any configuration since its first byte allows
// is not refused.
void caller_connection::update_limits()
{
    const http1::reader_limits now_set{this->owner.limits().max_header_bytes,
                                       this->owner.limits().max_body_bytes};
    if (!this->reader.begun()) {
        this->allowed = now_set;
    }
    this->allowed.max_header_bytes =
        std::max(this->allowed.max_header_bytes, now_set.max_header_bytes);
    this->allowed.max_body_bytes = std::max(this->allowed.max_body_bytes, now_set.max_body_bytes);
    this->reader.set_limits(this->allowed);
}

// Sets the time for the header when its first byte comes, and that for the body after it.
void caller_connection::timer_for_request()
{
    if (!this->reader.begun()) {
        return;
    }
    if (!this->header_timer) {
        this->header_timer = true;
        this->incoming_share->may_be_reclaimed(
            [this] { this->reject(status_request_timeout, "stopped_arriving"); });
        this->set_timer(this->owner.limits().header_timeout);
    }
    if (this->reader.expects_continue() && !this->continue_sent) {
        this->continue_sent = true;
        auto line = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
        asio::async_write(
            this->socket, asio::buffer(*line),
            [line, self = this->shared_from_this()](const asio::error_code&, std::size_t) {});
    }
    if (this->reader.header_complete() && !this->body_timer) {
        this->body_timer = true;
        this->set_timer(this->owner.limits().header_timeout * body_patience);
    }
}

void caller_connection::request_complete()
{
    auto whole = this->reader.take_request();
    this->incoming_share->must_stay();
    whole.memory = std::exchange(this->incoming_share, this->new_share());
    this->place->works();
    this->now = phase::waiting;
    this->timer.cancel();
    this->header_timer = false;
    this->body_timer = false;
    this->continue_sent = false;
    this->to_head = whole.method == "HEAD";
    this->close_after = !whole.keep_alive;
    this->request = this->owner.request_came(this->shared_from_this());
    this->owner.handle(*this->request, std::move(whole));
}

void caller_connection::answer(http1::response answer)
{
    if (this->now != phase::waiting) {
        return;
    }
    this->request.reset();
    this->close_after = this->close_after || !answer.keep_alive || !this->owner.keeps_connections();
    answer.keep_alive = !this->close_after;
    auto head = http1::write_response_head(answer, this->to_head);
    auto body = http1::sends_body(answer, this->to_head) ? std::move(answer.body) : std::string();
    // Its memory is counted by this connection from now on.
    answer.memory.reset();
    this->write(std::move(head), std::move(body));
}

// Until the operators' limits are known, another daemon may accept what is too large here.
void caller_connection::reject_too_large(int status, std::string_view cause)
{
    if (this->owner.limits_known()) {
        this->reject(status, cause);
        return;
    }
    this->reject(status_unavailable, "no_configuration",
                 {{"Retry-After", std::string(retry_after_start)}});
}

void caller_connection::reject_no_memory()
{
    this->reject(status_unavailable, "no_memory",
                 {{"Retry-After", std::string(retry_after_memory)}});
}

void caller_connection::reject(int status, std::string_view cause, std::vector<net::field> fields)
{
    this->owner.rejected(status, cause);
    this->close_after = true;
    this->reader.discard();
    free_bytes(this->pending);
    this->incoming_share->must_stay();
    this->incoming_share->force(0);
    http1::response refused;
    refused.status = status;
    refused.fields = std::move(fields);
    refused.keep_alive = false;
    this->write(http1::write_response(refused, false), {});
}

void caller_connection::write(std::string head, std::string body)
{
    this->now = phase::writing;
    this->outgoing_head = std::move(head);
    this->outgoing_body = std::move(body);
    this->sent = 0;
    this->outgoing_share.force(this->outgoing_head.size() + this->outgoing_body.size());
    this->outgoing_share.may_be_reclaimed([this] { this->close(); });
    this->set_timer(write_limit);
    const std::array<asio::const_buffer, 2> parts{asio::buffer(this->outgoing_head),
                                                  asio::buffer(this->outgoing_body)};
    const auto note_progress = [self = this->shared_from_this()](const asio::error_code& error,
                                                                 std::size_t total) {
        self->outgoing_share.progressed(total - std::exchange(self->sent, total));
        return asio::transfer_all()(error, total);
    };
    asio::async_write(
        this->socket, parts, note_progress,
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            if (self->now == phase::closed) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            self->written();
        });
}

void caller_connection::written()
{
    this->outgoing_share.must_stay();
    this->outgoing_share.force(0);
    free_bytes(this->outgoing_head);
    free_bytes(this->outgoing_body);
    this->place->waits();
    if (this->close_after) {
        this->linger();
        return;
    }
    this->now = phase::reading;
    this->incoming_share->force(this->pending.size());
    this->set_timer(this->owner.limits().idle_timeout);
    if (!this->pending.empty()) {
        this->take_bytes();
    }
    this->read();
}

// Closes the sending side and reads on for a moment: closing with unread bytes would reset the
// connection, and the caller could lose the answer.
void caller_connection::linger()
{
    this->now = phase::lingering;
    free_bytes(this->pending);
    this->incoming_share->force(0);
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_timer(linger_time);
    this->read();
}

void caller_connection::peer_ended()
{
    // A caller that has closed its sending side has left: it could not be told apart from one
    // that has closed both.
    this->close();
}

void caller_connection::close_if_idle()
{
    if (this->now == phase::reading && !this->reader.begun()) {
        this->close();
    }
}

void caller_connection::close()
{
    if (this->now == phase::closed) {
        return;
    }
    const auto self = this->shared_from_this();
    this->now = phase::closed;
    asio::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->place.reset();
    this->incoming_share->must_stay();
    this->incoming_share->force(0);
    this->outgoing_share.must_stay();
    this->outgoing_share.force(0);
    this->reader.discard();
    if (this->request) {
        this->owner.caller_left(*std::exchange(this->request, std::nullopt));
    }
    this->owner.closed(self);
}

void caller_connection::set_timer(duration wait)
{
    this->timer.expires_after(wait);
    this->timer.async_wait([weak = this->weak_from_this()](const asio::error_code& error) {
        const auto self = weak.lock();
        // A handler may already be queued when its timer is set anew.
        if (self && !error && self->timer.expiry() <= asio::steady_timer::clock_type::now()) {
            self->timer_expired();
        }
    });
}

void caller_connection::timer_expired()
{
    if (this->now == phase::reading && this->reader.begun()) {
        this->reject(status_request_timeout, "incomplete_in_time");
        return;
    }
    if (this->now != phase::waiting) {
        this->close();
    }
}

} // namespace azureshore::gateway::detail
