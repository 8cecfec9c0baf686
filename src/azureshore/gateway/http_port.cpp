#include "azureshore/gateway/http_port.hpp"

#include "azureshore/gateway/internal/caller_connection.hpp"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <utility>

namespace azureshore::gateway {

namespace {

using asio::ip::tcp;

constexpr int longest_backlog = 1024;
// Wait after an accept that failed for want of descriptors.
constexpr std::chrono::milliseconds accept_pause(20);
// Bytes of a connection that may wait in the kernel, where they count as this process's memory.
constexpr int receive_buffer_bytes = 128 * 1024;
// Memory of a port without an account.
constexpr std::size_t own_memory_bytes = 4UL * 1024UL * 1024UL;

} // namespace

class http_port::state : public detail::caller_owner,
                         public std::enable_shared_from_this<http_port::state> {
public:
    state(asio::io_context& context, const address& where, http_port_hooks calls,
          http_port_capacity capacity)
        : acceptor(context), pause(context), hooks(std::move(calls)),
          account(capacity.memory ? std::move(capacity.memory)
                                  : std::make_shared<detail::request_memory>(own_memory_bytes)),
          bound(capacity.connections)
    {
        const tcp::endpoint at(asio::ip::make_address(where.host), where.port);
        this->acceptor.open(at.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        // Accepted connections inherit it.
        this->acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        this->acceptor.bind(at);
        this->acceptor.listen(longest_backlog);
    }

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const asio::error_code& error, tcp::socket socket) {
                if (error == asio::error::operation_aborted || self->stopped) {
                    return;
                }
                if (error) {
                    self->accept_later();
                    return;
                }
                if (self->bound.make_room()) {
                    self->open(std::move(socket));
                }
                self->accept();
            });
    }

    void open(tcp::socket socket)
    {
        const auto made = std::make_shared<detail::caller_connection>(std::move(socket), *this);
        this->connections.insert(made);
        made->start();
    }

    void answer(request_number request, http1::response answer)
    {
        if (const auto found = this->waiting.find(request); found != this->waiting.end()) {
            const auto to = found->second;
            this->waiting.erase(found);
            to->answer(request, std::move(answer));
        }
    }

    void stop()
    {
        this->stopped = true;
        asio::error_code ignored;
        this->acceptor.close(ignored);
        this->pause.cancel();
        const auto all = this->connections;
        for (const auto& each : all) {
            each->close_if_idle();
        }
    }

    void close_all()
    {
        this->stop();
        const auto all = this->connections;
        for (const auto& each : all) {
            each->close();
        }
    }

    request_number request_came(const std::shared_ptr<detail::caller_connection>& from) override
    {
        const request_number number{++this->last_request};
        this->waiting[number] = from;
        return number;
    }

    void handle(request_number number, http1::request request, time_point arrived) override
    {
        this->hooks.request(number, std::move(request), arrived);
    }

    void caller_left(request_number number) override
    {
        if (this->waiting.erase(number) > 0 && this->hooks.gone) {
            this->hooks.gone(number);
        }
    }

    [[nodiscard]] bool may_run_concurrently(const http1::request& request) const override
    {
        return this->hooks.may_run_concurrently && this->hooks.may_run_concurrently(request);
    }

    void begun_early() override { ++this->pipelines.begun_early; }

    void cut_off(std::size_t requests) override { this->pipelines.cut_off += requests; }

    void rejected(int status, std::string_view cause) override
    {
        if (this->hooks.rejected) {
            this->hooks.rejected(status, cause);
        }
    }

    void closed(const std::shared_ptr<detail::caller_connection>& which) override
    {
        this->connections.erase(which);
    }

    [[nodiscard]] const balance::caller_limits& limits() const override
    {
        return this->current_limits;
    }

    [[nodiscard]] bool limits_known() const override { return this->has_limits; }

    [[nodiscard]] bool keeps_connections() const override { return this->keeping; }

    [[nodiscard]] const std::shared_ptr<detail::request_memory>& memory() const override
    {
        return this->account;
    }

    detail::connection_limit& connections_bound() override { return this->bound; }

    void set_limits(const balance::caller_limits& limits)
    {
        this->current_limits = limits;
        this->has_limits = true;
        this->account->set_patience(limits.header_timeout);
    }

    [[nodiscard]] std::size_t in_flight() const
    {
        std::size_t busy = 0;
        for (const auto& each : this->connections) {
            busy += each->in_flight();
        }
        return busy;
    }

    tcp::acceptor acceptor;
    asio::steady_timer pause;
    http_port_hooks hooks;
    std::shared_ptr<detail::request_memory> account;
    detail::connection_limit bound;
    balance::caller_limits current_limits;
    pipeline_counts pipelines;
    bool has_limits = false;
    bool keeping = true;
    bool stopped = false;

private:
    void accept_later()
    {
        this->pause.expires_after(accept_pause);
        this->pause.async_wait([self = this->shared_from_this()](const asio::error_code& error) {
            if (!error && !self->stopped) {
                self->accept();
            }
        });
    }

    std::uint64_t last_request = 0;
    std::unordered_map<request_number, std::shared_ptr<detail::caller_connection>> waiting;
    std::set<std::shared_ptr<detail::caller_connection>> connections;
};

http_port::http_port(asio::io_context& executor, const address& where, http_port_hooks hooks,
                     http_port_capacity capacity)
    : inner(std::make_shared<state>(executor, where, std::move(hooks), std::move(capacity)))
{
    this->inner->accept();
}

http_port::~http_port()
{
    this->inner->hooks = {};
    this->inner->close_all();
}

void http_port::answer(request_number request, http1::response answer)
{
    this->inner->answer(request, std::move(answer));
}

void http_port::set_limits(const balance::caller_limits& limits)
{
    this->inner->set_limits(limits);
}

void http_port::stop_keeping()
{
    this->inner->keeping = false;
}

void http_port::stop()
{
    this->inner->stop();
}

std::uint16_t http_port::port() const
{
    return this->inner->acceptor.local_endpoint().port();
}

std::size_t http_port::in_flight() const
{
    return this->inner->in_flight();
}

pipeline_counts http_port::pipelines() const
{
    return this->inner->pipelines;
}

std::size_t http_port::open_connections() const
{
    return this->inner->bound.open_connections();
}

std::uint64_t http_port::closed_for_room() const
{
    return this->inner->bound.closed_for_room();
}

} // namespace azureshore::gateway
