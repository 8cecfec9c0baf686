#include "deployment/caller.hpp"

#include "azureshore/http1/message_reader.hpp"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <array>

namespace azureshore::testing {

using asio::ip::tcp;

namespace {

constexpr std::size_t buffer_bytes = 16UL * 1024UL;
constexpr std::size_t most_body_bytes = 1024UL * 1024UL;

} // namespace

http1::request make_request(const std::string& id, const std::string& target, bool idempotent,
                            std::chrono::milliseconds deadline)
{
    http1::request made;
    made.method = idempotent ? "GET" : "POST";
    made.target = target;
    made.fields = {{"Host", "a.example"},
                   {"X-Request-Id", id},
                   {"X-Deadline-Ms", std::to_string(deadline.count())}};
    made.body = idempotent ? "" : id;
    return made;
}

bool caller::finish(const bool& ended, time_point until)
{
    this->executor.restart();
    while (!ended && steady_now() < until) {
        this->executor.run_one_until(until);
    }
    if (!ended) {
        this->hang_up();
        this->executor.restart();
        this->executor.run();
    }
    return ended && this->socket;
}

void caller::hang_up()
{
    if (this->socket) {
        asio::error_code ignored; // The other side may have closed it.
        this->socket->close(ignored);
        this->connected_to = {};
    }
}

std::optional<http1::response> caller::ask(const address& to, const http1::request& request,
                                           duration patience)
{
    const auto until = steady_now() + patience;
    asio::error_code failed;
    bool ended = false;
    const auto note_end = [&](const asio::error_code& error, auto...) {
        failed = error;
        ended = true;
    };
    if (!this->socket || !this->socket->is_open() || this->connected_to != to) {
        this->socket.emplace(this->executor);
        this->socket->async_connect({asio::ip::make_address(to.host), to.port}, note_end);
        if (!this->finish(ended, until) || failed) {
            this->hang_up();
            return std::nullopt;
        }
        this->connected_to = to;
    }
    const auto text = http1::write_request(request);
    ended = false;
    asio::async_write(*this->socket, asio::buffer(text), note_end);
    if (!this->finish(ended, until) || failed) {
        this->hang_up();
        return std::nullopt;
    }
    http1::message_reader reader(http1::message_kind::response, {buffer_bytes, most_body_bytes});
    std::array<char, buffer_bytes> bytes{};
    while (reader.state() == http1::read_state::need_more) {
        std::size_t count = 0;
        ended = false;
        this->socket->async_read_some(asio::buffer(bytes),
                                      [&](const asio::error_code& error, std::size_t read) {
                                          count = read;
                                          note_end(error);
                                      });
        if (!this->finish(ended, until) || failed) {
            this->hang_up();
            return std::nullopt;
        }
        reader.feed({bytes.data(), count});
    }
    if (reader.state() != http1::read_state::complete) {
        this->hang_up();
        return std::nullopt;
    }
    auto answer = reader.take_response();
    if (!answer.keep_alive) {
        this->hang_up();
    }
    return answer;
}

} // namespace azureshore::testing
