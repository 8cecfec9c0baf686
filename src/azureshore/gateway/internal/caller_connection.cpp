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

// How long a closing connection is read, so that the answer is not lost by a reset.
constexpr duration linger_time = std::chrono::milliseconds(500);
// Bytes that a caller may send ahead of the answer that is due next; more is left in the socket.
constexpr std::size_t most_ahead = read_ahead_limits{}.request_bytes;
// A body may take this many times longer than a header.
constexpr int body_patience = 4;
// An answer that its caller doesn't read is given up after this time.
constexpr duration write_limit = std::chrono::seconds(20);

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket accepted, caller_owner& port)
    : socket(std::move(accepted)), owner(port), read_timer(this->socket.get_executor()),
      write_timer(this->socket.get_executor()), reader(http1::message_kind::request, this->allowed)
{
}

void caller_connection::start()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->set_read_timer(this->owner.limits().idle_timeout);
    this->read();
}

std::size_t caller_connection::in_flight() const
{
    if (this->now != phase::open) {
        return 0;
    }
    const bool partly_read = this->reader.begun() && !this->no_more_requests;
    return this->exchanges.size() + (this->held ? 1 : 0) + (partly_read ? 1 : 0);
}

// Bytes that were read behind the request whose answer is due next.
std::size_t caller_connection::bytes_ahead() const
{
    if (this->exchanges.empty()) {
        return 0;
    }
    return this->exchanges.bytes_behind_first() + (this->held ? this->held->bytes : 0) +
           this->message_bytes + this->pending.size();
}

void caller_connection::read()
{
    if (this->reading || this->now == phase::closed || this->bytes_ahead() >= most_ahead) {
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

void caller_connection::bytes_came(std::size_t count)
{
    if (this->now == phase::open) {
        this->pending.append(this->buffer.data(), count);
        this->last_read = steady_now();
        this->take_bytes();
    }
    this->read();
}

bool caller_connection::may_parse() const
{
    if (this->now != phase::open || this->no_more_requests || this->held) {
        return false;
    }
    return this->exchanges.empty() ||
           (this->exchanges.has_room() && this->owner.keeps_connections());
}

void caller_connection::take_bytes()
{
    std::size_t used = 0;
    while (used < this->pending.size() && this->may_parse()) {
        this->update_limits();
        const auto taken = this->reader.feed(std::string_view(this->pending).substr(used));
        used += taken;
        this->message_bytes += taken;
        if (this->reader.state() == http1::read_state::need_more) {
            break;
        }
        this->message_ended();
    }
    this->pending.erase(0, used);
    this->update_read_timer();
}

void caller_connection::message_ended()
{
    switch (this->reader.state()) {
    case http1::read_state::need_more:
        return;
    case http1::read_state::complete:
        this->request_complete();
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

void caller_connection::request_complete()
{
    this->stop_read_timer();
    this->continue_written = false;
    whole_request next{this->reader.take_request(), this->last_read,
                       std::exchange(this->message_bytes, 0)};
    if (this->exchanges.empty() || this->owner.may_run_concurrently(next.request)) {
        this->begin(std::move(next));
        return;
    }
    this->held = std::move(next);
}

void caller_connection::begin(whole_request next)
{
    if (!this->exchanges.empty()) {
        this->owner.begun_early();
    }
    const auto number = this->owner.request_came(this->shared_from_this());
    this->no_more_requests = !next.request.keep_alive;
    this->exchanges.add(
        {number, next.bytes, next.request.method == "HEAD", next.request.keep_alive});
    this->owner.handle(number, std::move(next.request), next.arrived);
}

void caller_connection::answer(request_number number, http1::response answer)
{
    if (this->exchanges.answer(number, std::move(answer))) {
        this->send_next();
    }
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

void caller_connection::reject(int status, std::string_view cause, std::vector<net::field> fields)
{
    this->owner.rejected(status, cause);
    this->stop_read_timer();
    this->no_more_requests = true;
    http1::response refused;
    refused.status = status;
    refused.fields = std::move(fields);
    refused.keep_alive = false;
    this->exchanges.add_refusal(std::move(refused));
    this->send_next();
}

void caller_connection::send_continue()
{
    this->continue_written = true;
    this->write("HTTP/1.1 100 Continue\r\n\r\n", &caller_connection::continue_sent);
}

void caller_connection::continue_sent()
{
    this->send_next();
}

void caller_connection::send_next()
{
    if (this->now == phase::open && !this->writing && this->exchanges.answer_is_due()) {
        this->write(this->exchanges.write_first(this->owner.keeps_connections()),
                    &caller_connection::answer_sent);
    }
}

void caller_connection::write(std::string bytes, void (caller_connection::*then)())
{
    this->writing = true;
    this->outgoing = std::move(bytes);
    this->set_timer(this->write_timer, write_limit, &caller_connection::close);
    asio::async_write(
        this->socket, asio::buffer(this->outgoing),
        [then, self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            self->writing = false;
            if (self->now == phase::closed) {
                return;
            }
            if (error) {
                self->close();
                return;
            }
            stop_timer(self->write_timer);
            (self.get()->*then)();
        });
}

void caller_connection::answer_sent()
{
    if (!this->exchanges.first_is_sent()) {
        this->linger();
        return;
    }
    if (this->exchanges.empty()) {
        if (this->held) {
            this->begin(*std::exchange(this->held, std::nullopt));
        }
        else if (!this->reader.begun()) {
            this->set_read_timer(this->owner.limits().idle_timeout);
        }
    }
    this->take_bytes();
    this->send_next();
    this->read();
}

// Closes the sending side and reads on for a moment: closing with unread bytes would reset the
// connection, and the caller could lose the answer.
void caller_connection::linger()
{
    this->now = phase::lingering;
    this->pending.clear();
    if (!this->exchanges.empty()) {
        this->owner.cut_off(this->exchanges.size());
    }
    this->drop_requests();
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_read_timer(linger_time);
    this->read();
}

void caller_connection::drop_requests()
{
    this->held.reset();
    for (const auto each : this->exchanges.clear()) {
        this->owner.caller_left(each);
    }
}

void caller_connection::peer_ended()
{
    // A caller that has closed its sending side has left: it could not be told apart from one
    // that has closed both.
    this->close();
}

void caller_connection::close_if_idle()
{
    if (this->now == phase::open && this->in_flight() == 0) {
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
    stop_timer(this->read_timer);
    stop_timer(this->write_timer);
    this->drop_requests();
    this->owner.closed(self);
}

void caller_connection::set_timer(asio::steady_timer& which, duration wait,
                                  void (caller_connection::*expired)())
{
    which.expires_after(wait);
    which.async_wait(
        [&which, expired, weak = this->weak_from_this()](const asio::error_code& error) {
            const auto self = weak.lock();
            // A handler may already be queued when its timer is set anew.
            if (self && !error && which.expiry() <= asio::steady_timer::clock_type::now()) {
                (self.get()->*expired)();
            }
        });
}

// Cancelling is not enough: the handler may already be queued.
void caller_connection::stop_timer(asio::steady_timer& which)
{
    which.expires_at(asio::steady_timer::time_point::max());
}

void caller_connection::set_read_timer(duration wait)
{
    this->set_timer(this->read_timer, wait, &caller_connection::read_timer_expired);
}

void caller_connection::stop_read_timer()
{
    stop_timer(this->read_timer);
    this->header_timer = false;
    this->body_timer = false;
}

void caller_connection::read_timer_expired()
{
    if (this->now == phase::open && this->reader.begun()) {
        this->reject(status_request_timeout, "incomplete_in_time");
        return;
    }
    this->close();
}

// Sets the time for the header when its first byte comes, and that for the body after it. While
// this side reads no further, or the caller waits for its turn to send a body, no time runs.
void caller_connection::update_read_timer()
{
    if (this->now != phase::open || !this->reader.begun() || this->no_more_requests) {
        return;
    }
    if (!this->exchanges.empty() && (!this->may_parse() || this->bytes_ahead() >= most_ahead ||
                                     this->reader.expects_continue())) {
        this->stop_read_timer();
        return;
    }
    if (!this->header_timer) {
        this->header_timer = true;
        this->set_read_timer(this->owner.limits().header_timeout);
    }
    if (this->reader.expects_continue() && !this->continue_written) {
        this->send_continue();
    }
    if (this->reader.header_complete() && !this->body_timer) {
        this->body_timer = true;
        this->set_read_timer(this->owner.limits().header_timeout * body_patience);
    }
}

} // namespace azureshore::gateway::detail
