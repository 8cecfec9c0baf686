// The part of a caller's connection that sends answers and ends the connection.

#include "azureshore/gateway/internal/caller_connection.hpp"

#include <asio/write.hpp>

#include <utility>

namespace azureshore::gateway::detail {

namespace {

// How long a closing connection is read, so that the answer is not lost by a reset.
constexpr duration linger_time = std::chrono::milliseconds(500);
// An answer that its caller doesn't read is given up after this time.
constexpr duration write_limit = std::chrono::seconds(20);

} // namespace

void caller_connection::send_continue()
{
    this->continue_written = true;
    this->write({"HTTP/1.1 100 Continue\r\n\r\n", {}}, &caller_connection::continue_sent);
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

void caller_connection::write(answer_parts parts, void (caller_connection::*then)())
{
    this->writing = true;
    this->outgoing = std::move(parts);
    this->sent = 0;
    this->outgoing_share.force(this->outgoing.head.size() + this->outgoing.body.size());
    this->outgoing_share.may_be_reclaimed([this] { this->answer_stalled(); });
    this->set_timer(this->write_timer, write_limit, &caller_connection::close);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(this->outgoing.head),
                                                    asio::buffer(this->outgoing.body)};
    asio::async_write(
        this->socket, buffers,
        [self = this->shared_from_this()](const asio::error_code& error, std::size_t total) {
            return self->note_sent(error, total);
        },
        [then, self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
            self->written(error, then);
        });
}

// Returns how many bytes the next step of a write may take.
std::size_t caller_connection::note_sent(const asio::error_code& error, std::size_t total)
{
    this->outgoing_share.progressed(total - std::exchange(this->sent, total));
    return asio::transfer_all()(error, total);
}

void caller_connection::written(const asio::error_code& error, void (caller_connection::*then)())
{
    this->writing = false;
    this->outgoing = {};
    this->outgoing_share.must_stay();
    this->outgoing_share.force(0);
    if (this->now == phase::closed) {
        return;
    }
    if (error) {
        this->close();
        return;
    }
    stop_timer(this->write_timer);
    (this->*then)();
}

void caller_connection::answer_sent()
{
    if (!this->exchanges.first_is_sent()) {
        this->linger();
        return;
    }
    this->update_place();
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
    this->drop_input();
    if (!this->exchanges.empty()) {
        this->owner.cut_off(this->exchanges.size());
    }
    this->drop_requests();
    this->update_place();
    asio::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->set_read_timer(linger_time);
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
    if (this->now == phase::open && this->in_flight() == 0) {
        this->close();
    }
}

void caller_connection::close()
{
    const auto self = this->shared_from_this();
    this->end();
    this->report_end();
}

// Closes the socket and gives back all memory.
void caller_connection::end()
{
    if (this->now == phase::closed) {
        return;
    }
    this->now = phase::closed;
    asio::error_code ignored;
    this->socket.close(ignored);
    stop_timer(this->read_timer);
    stop_timer(this->write_timer);
    this->place.reset();
    this->held.reset();
    this->unanswered = this->exchanges.clear();
    this->outgoing_share.must_stay();
    this->outgoing_share.force(0);
    this->drop_input();
}

void caller_connection::report_end()
{
    if (std::exchange(this->end_reported, true)) {
        return;
    }
    for (const auto each : std::exchange(this->unanswered, {})) {
        this->owner.caller_left(each);
    }
    this->owner.closed(this->shared_from_this());
}

} // namespace azureshore::gateway::detail
