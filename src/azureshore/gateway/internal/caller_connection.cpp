#include "azureshore/gateway/internal/caller_connection.hpp"

#include <asio/post.hpp>

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

// Bytes of a closing connection that are read at most.
constexpr std::size_t linger_bytes = 4UL * 1024UL * 1024UL;
// A larger buffer isn't kept once it is empty.
constexpr std::size_t kept_buffer_bytes = 2UL * 1024UL;
// Bytes that a caller may send ahead of the answer that is due next; more is left in the socket.
constexpr std::size_t most_ahead = read_ahead_limits{}.request_bytes;
// A body may take this many times longer than a header.
constexpr int body_patience = 4;

// Clearing or assigning would keep the memory.
void free_bytes(std::string& of)
{
    std::string().swap(of);
}

} // namespace

caller_connection::caller_connection(asio::ip::tcp::socket accepted, caller_owner& port)
    : socket(std::move(accepted)), owner(port), read_timer(this->socket.get_executor()),
      write_timer(this->socket.get_executor()), reader(http1::message_kind::request, this->allowed),
      incoming_share(this->new_share()), outgoing_share(port.memory())
{
    this->reader.set_memory_check(
        [this](std::size_t bytes) { return this->take_memory(bytes + this->pending.size()); });
}

std::shared_ptr<memory_share> caller_connection::new_share() const
{
    return std::make_shared<memory_share>(this->owner.memory());
}

void caller_connection::start()
{
    asio::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    this->set_read_timer(this->owner.limits().idle_timeout);
    this->place.emplace(this->owner.connections_bound(), [this] { this->close(); });
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
    if (this->reading || this->now == phase::closed || !this->may_read()) {
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

// Without requests before it, the memory of the one that is read is asked for as it is parsed.
// Otherwise the answer that is due next leads to another try.
bool caller_connection::may_read()
{
    if (this->exchanges.empty()) {
        return true;
    }
    if (this->bytes_ahead() >= most_ahead) {
        return false;
    }
    const bool granted =
        this->take_memory(this->reader.held_bytes() + this->pending.size() + this->buffer.size());
    if (!granted) {
        this->stop_read_timer();
    }
    return granted;
}

// Asks for what the request that is read takes, with the bytes behind it. Others may give up their
// memory for it, among them the answer that this connection writes: then it has ended.
bool caller_connection::take_memory(std::size_t bytes)
{
    const bool granted = this->incoming_share->resize(bytes);
    if (this->now == phase::closed) {
        this->incoming_share->force(0);
        return false;
    }
    return granted;
}

void caller_connection::bytes_came(std::size_t count)
{
    if (this->now == phase::open) {
        this->pending.append(this->buffer.data(), count);
        this->last_read = steady_now();
        this->incoming_share->progressed(count);
        this->take_bytes();
    }
    else {
        this->dropped += count;
        if (this->dropped > linger_bytes) {
            this->close();
            return;
        }
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

http1::read_state caller_connection::feed_reader(std::string_view bytes, std::size_t& used)
{
    this->parsing = true;
    const auto taken = this->reader.feed(bytes);
    this->parsing = false;
    used += taken;
    this->message_bytes += taken;
    return this->reader.state();
}

void caller_connection::take_bytes()
{
    std::size_t used = 0;
    while (used < this->pending.size() && this->may_parse()) {
        this->update_limits();
        const auto state = this->feed_reader(std::string_view(this->pending).substr(used), used);
        const bool sound =
            state == http1::read_state::need_more || state == http1::read_state::complete;
        if (sound && !this->take_memory(this->reader.held_bytes() + this->pending.size() - used)) {
            this->reject_no_memory();
            break;
        }
        if (state == http1::read_state::need_more) {
            break;
        }
        this->message_ended();
    }
    if (this->now != phase::open) {
        this->drop_input();
        return;
    }
    this->pending.erase(0, used);
    if (this->pending.empty() && this->pending.capacity() > kept_buffer_bytes) {
        free_bytes(this->pending);
    }
    this->incoming_share->force(this->reader.held_bytes() + this->pending.size());
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

void caller_connection::request_complete()
{
    this->stop_read_timer();
    this->continue_written = false;
    this->stall_watched = false;
    this->incoming_share->must_stay();
    this->incoming_share->force(this->reader.held_bytes());
    whole_request next{this->reader.take_request(), this->last_read,
                       std::exchange(this->message_bytes, 0)};
    next.request.memory = std::exchange(this->incoming_share, this->new_share());
    this->incoming_share->force(this->pending.size());
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
    this->update_place();
    this->owner.handle(number, std::move(next.request), next.arrived);
}

void caller_connection::answer(request_number number, http1::response answer)
{
    if (!answer.memory) {
        const auto share = this->new_share();
        share->force(answer.body.size());
        answer.memory = share;
    }
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

void caller_connection::reject_no_memory()
{
    this->reject(status_unavailable, "no_memory",
                 {{"Retry-After", std::string(retry_after_memory)}});
}

// From now on the request that is read may be refused when memory runs short.
void caller_connection::may_stall()
{
    this->stall_watched = true;
    this->incoming_share->may_be_reclaimed([this] { this->request_stalled(); });
}

// While no time runs, it isn't the caller who has stopped.
void caller_connection::request_stalled()
{
    if (this->header_timer) {
        this->reject(status_request_timeout, "stopped_arriving");
        return;
    }
    this->reject_no_memory();
}

// The holder for whom this memory is given up may wait for an answer to one of this connection's
// requests, so the owner is told of their end only after that holder has gone on.
void caller_connection::answer_stalled()
{
    this->end();
    asio::post(this->socket.get_executor(),
               [self = this->shared_from_this()] { self->report_end(); });
}

void caller_connection::reject(int status, std::string_view cause, std::vector<net::field> fields)
{
    if (this->now != phase::open) {
        return;
    }
    this->owner.rejected(status, cause);
    this->stop_read_timer();
    this->no_more_requests = true;
    this->drop_input();
    http1::response refused;
    refused.status = status;
    refused.fields = std::move(fields);
    refused.keep_alive = false;
    this->exchanges.add_refusal(std::move(refused));
    this->update_place();
    this->send_next();
}

// Drops the request that is being read and the bytes behind it.
void caller_connection::drop_input()
{
    this->stall_watched = false;
    this->message_bytes = 0;
    this->incoming_share->must_stay();
    this->incoming_share->force(0);
    if (!this->parsing) {
        this->reader.discard();
        free_bytes(this->pending);
    }
}

// The connection may be closed for a new one while it has no request.
void caller_connection::update_place()
{
    if (this->exchanges.empty()) {
        this->place->waits();
    }
    else {
        this->place->works();
    }
}

void caller_connection::drop_requests()
{
    this->held.reset();
    for (const auto each : this->exchanges.clear()) {
        this->owner.caller_left(each);
    }
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
        if (!this->stall_watched) {
            this->may_stall();
        }
        return;
    }
    if (!this->header_timer) {
        this->header_timer = true;
        this->may_stall();
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
