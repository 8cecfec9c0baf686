#include "support/raw_server.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace azureshore::test_support {

namespace {

using asio::ip::tcp;

constexpr std::string_view head_end = "\r\n\r\n";

class socket_connection final : public raw_connection {
public:
    explicit socket_connection(tcp::socket& accepted) : socket(accepted) {}

    std::optional<std::string> read_request() override
    {
        asio::error_code error;
        const std::size_t head =
            asio::read_until(this->socket, asio::dynamic_buffer(this->buffer), head_end, error);
        if (error) {
            return std::nullopt;
        }
        const auto length = field_of(this->buffer.substr(0, head), "Content-Length");
        const std::size_t whole = head + (length.empty() ? 0 : std::stoul(length));
        while (this->buffer.size() < whole) {
            asio::read(this->socket, asio::dynamic_buffer(this->buffer), asio::transfer_at_least(1),
                       error);
            if (error) {
                return std::nullopt;
            }
        }
        std::string request = this->buffer.substr(0, whole);
        this->buffer.erase(0, whole);
        return request;
    }

    std::optional<std::string> read_head() override
    {
        asio::error_code error;
        asio::read_until(this->socket, asio::dynamic_buffer(this->buffer), head_end, error);
        if (error) {
            return std::nullopt;
        }
        return std::exchange(this->buffer, {});
    }

    void skip(std::size_t bytes) override
    {
        std::array<char, 16UL * 1024UL> part{};
        asio::error_code error;
        while (bytes > 0 && !error) {
            const auto most = std::min(bytes, part.size());
            bytes -= this->socket.read_some(asio::buffer(part.data(), most), error);
        }
    }

    void skip_available(std::size_t most) override
    {
        asio::error_code error;
        while (most > 0 && !error) {
            const auto available = std::min(most, this->socket.available(error));
            if (available == 0) {
                return;
            }
            this->skip(available);
            most -= available;
        }
    }

    void send(std::string_view bytes) override
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes), ignored);
    }

    void finish_sending() override
    {
        asio::error_code ignored;
        this->socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void wait_for_close() override
    {
        asio::error_code error;
        while (!error) {
            asio::read(this->socket, asio::dynamic_buffer(this->buffer), asio::transfer_at_least(1),
                       error);
        }
    }

    void reset_at_end() override
    {
        asio::error_code ignored;
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }

private:
    tcp::socket& socket;
    std::string buffer;
};

} // namespace

class raw_server::state {
public:
    explicit state(std::function<void(raw_connection&, int)> serve)
        : script(std::move(serve)),
          acceptor(this->executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          accepting([this] { this->accept(); })
    {
    }

    void stop()
    {
        this->stopping = true;
        // Wakes the accepting thread, which may block in accept.
        asio::error_code ignored;
        tcp::socket(this->executor).connect(this->acceptor.local_endpoint(), ignored);
        this->accepting.join();
        this->shut_down_all();
        for (auto& each : this->serving) {
            each.join();
        }
    }

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

private:
    void accept()
    {
        for (int number = 0;; ++number) {
            auto socket = std::make_shared<tcp::socket>(this->executor);
            asio::error_code error;
            this->acceptor.accept(*socket, error);
            if (error || this->stopping) {
                return;
            }
            const std::scoped_lock lock(this->mutex);
            this->sockets.push_back(socket);
            this->serving.emplace_back([this, socket, number] { this->serve(*socket, number); });
        }
    }

    void serve(tcp::socket& socket, int number)
    {
        socket_connection connection(socket);
        this->script(connection, number);
        const std::scoped_lock lock(this->mutex);
        asio::error_code ignored;
        socket.close(ignored);
    }

    void shut_down_all()
    {
        const std::scoped_lock lock(this->mutex);
        for (const auto& each : this->sockets) {
            asio::error_code ignored;
            each->shutdown(tcp::socket::shutdown_both, ignored);
        }
    }

    std::function<void(raw_connection&, int)> script;
    asio::io_context executor;
    tcp::acceptor acceptor;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    std::vector<std::thread> serving;
    std::thread accepting;
};

raw_server::raw_server(std::function<void(raw_connection&, int)> script)
    : inner(std::make_unique<state>(std::move(script)))
{
}

raw_server::~raw_server()
{
    this->inner->stop();
}

std::uint16_t raw_server::port() const
{
    return this->inner->port();
}

std::string field_of(const std::string& message, const std::string& name)
{
    const auto found = message.find("\r\n" + name + ": ");
    if (found == std::string::npos) {
        return {};
    }
    const auto start = found + name.size() + 4;
    return message.substr(start, message.find("\r\n", start) - start);
}

} // namespace azureshore::test_support
