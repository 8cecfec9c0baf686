#include "azureshore/net/internal/server_shard.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/net/internal/connection_book.hpp"

#include <asio/post.hpp>
#include <restinio/all.hpp>

#include <algorithm>
#include <future>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <utility>

namespace azureshore::net::detail {

namespace {

constexpr std::size_t max_pipelined_requests = 4;
constexpr std::size_t read_buffer_bytes = 16UL * 1024UL;
constexpr std::size_t max_target_bytes = 8UL * 1024UL;
constexpr std::size_t max_field_name_bytes = 256;
constexpr std::size_t max_field_value_bytes = 8UL * 1024UL;
constexpr std::size_t max_fields = 100;
constexpr duration shortest_timeout_check = std::chrono::milliseconds(20);
constexpr duration longest_timeout_check = std::chrono::seconds(1);
constexpr int timeout_checks = 10;

using closed_hook = std::function<void(restinio::connection_id_t)>;

// Tells of connections that have closed.
struct state_listener {
    closed_hook closed;

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        if (std::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
            this->closed(notice.connection_id());
        }
    }
};

struct shard_traits : restinio::default_single_thread_traits_t {
    using connection_state_listener_t = state_listener;
};

using restinio_server = restinio::http_server_t<shard_traits>;
using server_settings = restinio::server_settings_t<shard_traits>;

restinio::incoming_http_msg_limits_t limits_of(const http_server_settings& settings)
{
    restinio::incoming_http_msg_limits_t limits;
    limits.max_url_size(max_target_bytes);
    limits.max_field_name_size(max_field_name_bytes);
    limits.max_field_value_size(max_field_value_bytes);
    limits.max_field_count(max_fields);
    limits.max_body_size(settings.max_body);
    return limits;
}

duration timeout_check(const http_server_settings& settings)
{
    const duration shorter = std::min(settings.read_timeout, settings.handle_timeout);
    return std::clamp(shorter / timeout_checks, shortest_timeout_check, longest_timeout_check);
}

// These are the server's own to set, from the body that it sends.
bool is_framing(std::string_view name)
{
    return same_name(name, "Content-Length") || same_name(name, "Transfer-Encoding") ||
           same_name(name, "Connection");
}

http_call read_call(const restinio::request_handle_t& request, call_number number)
{
    http_call call;
    call.number = number;
    call.method = request->header().method().c_str();
    call.target = request->header().request_target();
    request->header().for_each_field([&](const restinio::http_header_field_t& each) {
        call.headers.push_back({each.name(), each.value()});
    });
    call.body = request->body();
    const auto& peer = request->remote_endpoint();
    call.peer = peer.address().to_string() + ':' + std::to_string(peer.port());
    return call;
}

void send_answer(const restinio::request_handle_t& request, http_answer answer, bool close)
{
    const auto status = restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status));
    auto response = request->create_response(restinio::http_status_line_t(status, std::string()));
    for (auto& each : answer.headers) {
        if (!is_framing(each.name)) {
            response.header().add_field(std::move(each.name), std::move(each.value));
        }
    }
    if (answer.close || close) {
        response.connection_close();
    }
    if (request->header().method() != restinio::http_method_head()) {
        response.set_body(std::move(answer.body));
    }
    response.done();
}

} // namespace

class server_shard::state : public std::enable_shared_from_this<server_shard::state> {
public:
    state(const http_server_settings& limits, std::shared_ptr<const http_server_hooks> calls,
          std::size_t shard_index)
        : settings(limits), hooks(std::move(calls)), index(shard_index), executor(1),
          work(asio::make_work_guard(this->executor))
    {
    }

    void open()
    {
        this->server.emplace(restinio::external_io_context(this->executor), this->make_settings());
        this->server->open_sync();
        this->thread = std::thread([this] { this->executor.run(); });
    }

    // Runs on the shard's thread and is waited for.
    void stop()
    {
        std::promise<void> closed;
        asio::post(this->executor, [this, &closed] {
            this->stopping = true;
            asio::error_code ignored;
            this->acceptor->close(ignored);
            closed.set_value();
        });
        closed.get_future().wait();
    }

    void join()
    {
        this->work.reset();
        this->executor.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
        this->server.reset();
    }

    std::uint16_t bound_port = 0;

private:
    server_settings make_settings()
    {
        server_settings to;
        to.address(asio::ip::make_address(this->settings.where.host));
        to.port(this->settings.where.port);
        to.buffer_size(read_buffer_bytes);
        to.max_pipelined_requests(max_pipelined_requests);
        to.incoming_http_msg_limits(limits_of(this->settings));
        to.read_next_http_message_timelimit(this->settings.read_timeout);
        to.handle_request_timeout(this->settings.handle_timeout);
        to.timer_manager(timeout_check(this->settings));
        to.socket_options_setter(
            [](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
        this->set_acceptor(to);
        to.connection_state_listener(std::make_shared<state_listener>(
            state_listener{[this](restinio::connection_id_t connection) {
                this->connection_closed(connection);
            }}));
        to.request_handler([this](const restinio::request_handle_t& request) {
            this->handle(request);
            return restinio::request_accepted();
        });
        return to;
    }

    void set_acceptor(server_settings& to)
    {
        const bool shared = this->settings.threads > 1;
        to.acceptor_options_setter([shared](restinio::acceptor_options_t& options) {
            options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            if (shared) {
                using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
                options.set_option(reuse_port(true));
            }
        });
        to.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& bound) {
            this->acceptor = &bound;
            this->bound_port = bound.local_endpoint().port();
        });
    }

    void handle(const restinio::request_handle_t& request)
    {
        const auto connection = request->connection_id();
        const call_number number = (++this->last_call << shard_bits) | this->index;
        this->book.add(connection, number);
        responder answer = [self = this->weak_from_this(), request, connection,
                            number](http_answer given) {
            if (const auto shard = self.lock()) {
                shard->answer(request, connection, number, std::move(given));
            }
        };
        this->hooks->call(read_call(request, number), std::move(answer));
    }

    // Called from any thread.
    void answer(restinio::request_handle_t request, restinio::connection_id_t connection,
                call_number number, http_answer given)
    {
        asio::dispatch(this->executor,
                       [self = this->shared_from_this(), connection, number,
                        request = std::move(request), given = std::move(given)]() mutable {
                           if (self->book.take(connection, number)) {
                               send_answer(request, std::move(given), self->stopping);
                           }
                       });
    }

    void connection_closed(restinio::connection_id_t connection)
    {
        for (const call_number each : this->book.close(connection)) {
            if (this->hooks->gone) {
                this->hooks->gone(each);
            }
        }
    }

    static constexpr unsigned shard_bits = 8;

    const http_server_settings settings;
    const std::shared_ptr<const http_server_hooks> hooks;
    const std::uint64_t index;
    connection_book book;
    std::uint64_t last_call = 0;
    bool stopping = false;
    asio::io_context executor;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::optional<restinio_server> server;
    asio::ip::tcp::acceptor* acceptor = nullptr;
    std::thread thread;
};

server_shard::server_shard(const http_server_settings& settings,
                           std::shared_ptr<const http_server_hooks> hooks, std::size_t index)
    : inner(std::make_shared<state>(settings, std::move(hooks), index))
{
    this->inner->open();
}

server_shard::~server_shard()
{
    this->inner->join();
}

std::uint16_t server_shard::port() const
{
    return this->inner->bound_port;
}

void server_shard::stop()
{
    this->inner->stop();
}

} // namespace azureshore::net::detail
