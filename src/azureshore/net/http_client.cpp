#include "azureshore/net/http_client.hpp"

#include "azureshore/net/field_text.hpp"
#include "azureshore/net/internal/curl_transfer.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <curl/curl.h>

#include <unordered_map>
#include <utility>
#include <vector>

namespace azureshore::net {

namespace {

constexpr long max_idle_connections = 1024;

void initialize_curl()
{
    static const CURLcode once = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(once);
}

struct curl_multi_deleter {
    void operator()(CURLM* handle) const { curl_multi_cleanup(handle); }
};

// A socket that libcurl uses and Asio watches.
struct watched_socket {
    asio::ip::tcp::socket socket;
    bool wants_read = false;
    bool wants_write = false;
    bool waits_read = false;
    bool waits_write = false;
};

} // namespace

// Shared with the handlers that wait in the executor, which may outlive the client.
class http_client::state : public std::enable_shared_from_this<http_client::state> {
public:
    explicit state(asio::io_context& context)
        : executor(context), timer(context), multi((initialize_curl(), curl_multi_init()))
    {
        CURLM* const to = this->multi.get();
        curl_multi_setopt(to, CURLMOPT_SOCKETFUNCTION, &state::on_socket);
        curl_multi_setopt(to, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(to, CURLMOPT_TIMERFUNCTION, &state::on_timer);
        curl_multi_setopt(to, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(to, CURLMOPT_MAXCONNECTS, max_idle_connections);
        curl_multi_setopt(to, CURLMOPT_PIPELINING, static_cast<long>(CURLPIPE_NOTHING));
    }

    transfer_number start(http_request request, std::function<void(http_result)> done)
    {
        const transfer_number number = ++this->last_number;
        auto transfer =
            std::make_unique<detail::curl_transfer>(number, std::move(request), std::move(done));
        CURL* const easy = transfer->handle();
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &state::open_socket);
        curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &state::close_socket);
        curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
        const bool well_formed = transfer->well_formed();
        this->transfers.emplace(number, std::move(transfer));
        if (!well_formed || curl_multi_add_handle(this->multi.get(), easy) != CURLM_OK) {
            this->refuse_later(number);
        }
        return number;
    }

    bool cancel(transfer_number number)
    {
        const auto found = this->transfers.find(number);
        if (found == this->transfers.end()) {
            return false;
        }
        const bool connected = found->second->connected();
        auto transfer = std::move(found->second);
        this->transfers.erase(found);
        // Removing a request that is under way closes its connection.
        curl_multi_remove_handle(this->multi.get(), transfer->handle());
        return connected;
    }

    void close()
    {
        this->closed = true;
        this->timer.cancel();
        for (auto& [number, transfer] : this->transfers) {
            curl_multi_remove_handle(this->multi.get(), transfer->handle());
        }
        this->transfers.clear();
        this->multi.reset();
        this->sockets.clear();
    }

    [[nodiscard]] std::size_t in_flight() const { return this->transfers.size(); }

private:
    using socket_map = std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>>;

    // The request can't go out; its end still comes from the executor, as every other.
    void refuse_later(transfer_number number)
    {
        asio::post(this->executor, [self = this->shared_from_this(), number] {
            self->finish(number, CURLE_URL_MALFORMAT);
        });
    }

    void finish(transfer_number number, CURLcode code)
    {
        const auto found = this->transfers.find(number);
        if (found == this->transfers.end()) {
            return;
        }
        auto transfer = std::move(found->second);
        this->transfers.erase(found);
        auto result = transfer->finish(code);
        curl_multi_remove_handle(this->multi.get(), transfer->handle());
        auto done = std::move(transfer->done);
        transfer.reset();
        done(std::move(result));
    }

    void act(curl_socket_t socket, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi.get(), socket, events, &running);
        this->finish_ended();
    }

    // Collects first: a callback may start or cancel requests, which changes libcurl's list.
    void finish_ended()
    {
        std::vector<std::pair<transfer_number, CURLcode>> ended;
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(this->multi.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            detail::curl_transfer* transfer = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
            ended.emplace_back(transfer->number, message->data.result);
        }
        for (const auto& [number, code] : ended) {
            if (this->closed) {
                return;
            }
            this->finish(number, code);
        }
    }

    static curl_socket_t open_socket(void* self, curlsocktype purpose, curl_sockaddr* where)
    {
        if (purpose != CURLSOCKTYPE_IPCXN) {
            return CURL_SOCKET_BAD;
        }
        auto& client = *static_cast<state*>(self);
        const bool six = where->family == AF_INET6;
        asio::ip::tcp::socket socket(client.executor);
        asio::error_code error;
        socket.open(six ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
        if (error) {
            return CURL_SOCKET_BAD;
        }
        const curl_socket_t native = socket.native_handle();
        client.sockets[native] =
            std::make_shared<watched_socket>(watched_socket{std::move(socket)});
        return native;
    }

    static int close_socket(void* self, curl_socket_t native)
    {
        auto& client = *static_cast<state*>(self);
        const auto found = client.sockets.find(native);
        if (found != client.sockets.end()) {
            asio::error_code ignored;
            found->second->socket.close(ignored);
            client.sockets.erase(found);
        }
        return 0;
    }

    static int on_socket(CURL*, curl_socket_t native, int what, void* self, void*)
    {
        auto& client = *static_cast<state*>(self);
        const auto found = client.sockets.find(native);
        if (found != client.sockets.end()) {
            found->second->wants_read = what == CURL_POLL_IN || what == CURL_POLL_INOUT;
            found->second->wants_write = what == CURL_POLL_OUT || what == CURL_POLL_INOUT;
            client.watch(native, found->second);
        }
        return 0;
    }

    void watch(curl_socket_t native, const std::shared_ptr<watched_socket>& watched)
    {
        if (watched->wants_read && !watched->waits_read) {
            watched->waits_read = true;
            this->wait(native, watched, asio::ip::tcp::socket::wait_read, CURL_CSELECT_IN);
        }
        if (watched->wants_write && !watched->waits_write) {
            watched->waits_write = true;
            this->wait(native, watched, asio::ip::tcp::socket::wait_write, CURL_CSELECT_OUT);
        }
    }

    void wait(curl_socket_t native, const std::shared_ptr<watched_socket>& watched,
              asio::ip::tcp::socket::wait_type type, int event)
    {
        watched->socket.async_wait(type, [self = this->shared_from_this(), native, watched,
                                          event](asio::error_code error) {
            const bool reading = event == CURL_CSELECT_IN;
            (reading ? watched->waits_read : watched->waits_write) = false;
            const bool wanted = reading ? watched->wants_read : watched->wants_write;
            if (!self->closed && wanted && watched->socket.is_open()) {
                self->act(native, error ? CURL_CSELECT_ERR : event);
            }
            if (!self->closed && watched->socket.is_open()) {
                self->watch(native, watched);
            }
        });
    }

    static int on_timer(CURLM*, long milliseconds, void* self)
    {
        auto& client = *static_cast<state*>(self);
        if (milliseconds < 0) {
            client.timer.cancel();
            return 0;
        }
        client.timer.expires_after(std::chrono::milliseconds(milliseconds));
        client.timer.async_wait([keep = client.shared_from_this()](asio::error_code error) {
            if (!error && !keep->closed) {
                keep->act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
        return 0;
    }

    asio::io_context& executor;
    asio::steady_timer timer;
    socket_map sockets;
    std::unordered_map<transfer_number, std::unique_ptr<detail::curl_transfer>> transfers;
    std::unique_ptr<CURLM, curl_multi_deleter> multi;
    transfer_number last_number = 0;
    bool closed = false;
};

http_client::http_client(asio::io_context& executor) : inner(std::make_shared<state>(executor)) {}

http_client::~http_client()
{
    this->inner->close();
}

transfer_number http_client::start(http_request request, std::function<void(http_result)> done)
{
    return this->inner->start(std::move(request), std::move(done));
}

bool http_client::cancel(transfer_number transfer)
{
    return this->inner->cancel(transfer);
}

std::size_t http_client::in_flight() const
{
    return this->inner->in_flight();
}

std::string_view http_result::header(std::string_view name) const
{
    return find_field(this->headers, name);
}

} // namespace azureshore::net
