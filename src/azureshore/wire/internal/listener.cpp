#include "azureshore/wire/internal/listener.hpp"

#include "azureshore/core/big_endian.hpp"
#include "azureshore/core/failure.hpp"
#include "azureshore/wire/internal/peer.hpp"
#include "azureshore/wire/transport.hpp"

#include <asio/buffer.hpp>
#include <asio/read.hpp>

#include <utility>

namespace azureshore::wire::detail {

using asio::ip::tcp;

namespace {

// Connections at once: two for each VM of the largest deployment, one of which may be a leftover
// that has not been noticed as closed.
constexpr std::size_t max_connections = 4096;

// How long to wait before the next connection is taken when the process is short of descriptors.
constexpr auto short_of_descriptors_pause = std::chrono::milliseconds(50);

void check(const asio::error_code& error, const std::string& doing)
{
    if (error) {
        throw transport_error(
            make_status(failure::connection_failed, doing + ": " + error.message()));
    }
}

} // namespace

// One peer's connection. Closes when a message is larger than any that a transport sends.
class listener::connection : public std::enable_shared_from_this<connection> {
public:
    connection(listener& of, tcp::socket taken)
        : owner(of), open_connections(of.open_connections), socket(std::move(taken))
    {
        ++*this->open_connections;
        asio::error_code ignored; // Only delays when a peer that vanished is noticed.
        this->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    }

    ~connection() { --*this->open_connections; }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    void read_head()
    {
        asio::async_read(
            this->socket, asio::buffer(this->head),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                const auto bytes = from_big_endian(self->head);
                if (!error && bytes <= max_carried_bytes) {
                    self->read_body(bytes);
                }
            });
    }

private:
    void read_body(std::size_t bytes)
    {
        this->body.resize(bytes);
        asio::async_read(
            this->socket, asio::buffer(this->body),
            [self = this->shared_from_this()](const asio::error_code& error, std::size_t) {
                if (!error) {
                    self->owner.take(std::exchange(self->body, {}));
                    self->read_head();
                }
            });
    }

    listener& owner;
    std::shared_ptr<std::size_t> open_connections;
    tcp::socket socket;
    std::string head = std::string(frame_head_bytes, '\0');
    std::string body;
};

listener::listener(asio::io_context& executor, const address& where,
                   std::function<void(std::string)> message_received)
    : acceptor(executor), accept_pause(executor), bound(where), hand_on(std::move(message_received))
{
    const auto text = where.host + ':' + std::to_string(where.port);
    asio::error_code error;
    const auto host = asio::ip::make_address(where.host, error);
    check(error, "cannot listen at " + text);
    const tcp::endpoint endpoint(host, where.port);
    this->acceptor.open(endpoint.protocol(), error);
    check(error, "cannot open a socket");
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    check(error, "cannot set up the socket for " + text);
    this->acceptor.bind(endpoint, error);
    check(error, "cannot listen at " + text);
    this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    check(error, "cannot listen at " + text);
    const auto taken = this->acceptor.local_endpoint(error);
    check(error, "no port at " + text);
    this->bound.port = taken.port();
    this->accept();
}

void listener::accept()
{
    this->acceptor.async_accept([this](const asio::error_code& error, tcp::socket taken) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            this->accept_pause.expires_after(short_of_descriptors_pause);
            this->accept_pause.async_wait([this](const asio::error_code& cancelled) {
                if (!cancelled) {
                    this->accept();
                }
            });
            return;
        }
        if (*this->open_connections < max_connections) {
            std::make_shared<connection>(*this, std::move(taken))->read_head();
        }
        this->accept();
    });
}

void listener::take(std::string bytes)
{
    ++this->received_count;
    this->hand_on(std::move(bytes));
}

} // namespace azureshore::wire::detail
