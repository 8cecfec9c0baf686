#include "support/loopback_proxy.hpp"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <utility>
#include <vector>

namespace azureshore::test_support {

using asio::ip::tcp;

namespace {

// How often held bytes look whether their link passes again.
constexpr auto held_check = std::chrono::milliseconds(10);
constexpr std::size_t buffer_bytes = 16UL * 1024UL;

struct link {
    link_state now = link_state::passing;
    duration delay{};
};

void reset(tcp::socket& socket)
{
    asio::error_code ignored; // The socket may be closed already.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// Both connections of one caller.
class session : public std::enable_shared_from_this<session> {
public:
    session(tcp::socket from, asio::io_context& executor, std::shared_ptr<link> over)
        : caller(std::move(from)), target(executor), through(std::move(over))
    {
    }

    void start(const address& to)
    {
        this->target.async_connect(
            {asio::ip::make_address(to.host), to.port},
            [self = this->shared_from_this()](const asio::error_code& error) {
                if (error) {
                    self->end();
                    return;
                }
                asio::error_code ignored; // Only costs delay.
                self->target.set_option(tcp::no_delay(true), ignored);
                self->caller.set_option(tcp::no_delay(true), ignored);
                self->pump(self->requests, self->caller, self->target);
                self->pump(self->answers, self->target, self->caller);
            });
    }

    void end()
    {
        reset(this->caller);
        reset(this->target);
    }

private:
    struct flow {
        flow(tcp::socket& reader, bool towards_target)
            : timer(reader.get_executor()), is_request(towards_target)
        {
        }

        std::array<char, buffer_bytes> bytes{};
        asio::steady_timer timer;
        bool is_request;
    };

    void pump(flow& of, tcp::socket& from, tcp::socket& to)
    {
        from.async_read_some(
            asio::buffer(of.bytes), [self = this->shared_from_this(), &of, &from,
                                     &to](const asio::error_code& error, std::size_t count) {
                if (error) {
                    self->close();
                    return;
                }
                const auto delay = self->through->now == link_state::delayed ? self->through->delay
                                                                             : duration::zero();
                self->forward(of, from, to, count, delay);
            });
    }

    void forward(flow& of, tcp::socket& from, tcp::socket& to, std::size_t count, duration delay)
    {
        const auto now = this->through->now;
        const bool held =
            now == link_state::silent ||
            now == (of.is_request ? link_state::requests_held : link_state::answers_held);
        if (held || delay > duration::zero()) {
            of.timer.expires_after(held ? duration(held_check) : delay);
            of.timer.async_wait([self = this->shared_from_this(), &of, &from, &to,
                                 count](const asio::error_code& error) {
                if (!error) {
                    self->forward(of, from, to, count, duration::zero());
                }
            });
            return;
        }
        asio::async_write(to, asio::buffer(of.bytes, count),
                          [self = this->shared_from_this(), &of, &from,
                           &to](const asio::error_code& error, std::size_t) {
                              error ? self->close() : self->pump(of, from, to);
                          });
    }

    void close()
    {
        asio::error_code ignored; // Either may be closed already.
        this->caller.close(ignored);
        this->target.close(ignored);
    }

    tcp::socket caller;
    tcp::socket target;
    std::shared_ptr<link> through;
    flow requests{caller, true};
    flow answers{target, false};
};

} // namespace

class loopback_proxy::state : public std::enable_shared_from_this<state> {
public:
    state(asio::io_context& on, address to)
        : executor(on), acceptor(on, {asio::ip::address_v4::loopback(), 0}), target(std::move(to))
    {
    }

    void accept()
    {
        this->acceptor.async_accept([self = this->shared_from_this()](const asio::error_code& error,
                                                                      tcp::socket came) {
            if (error) {
                return;
            }
            if (self->through->now == link_state::resetting) {
                reset(came);
            }
            else {
                const auto made =
                    std::make_shared<session>(std::move(came), self->executor, self->through);
                std::erase_if(self->sessions,
                              [](const std::weak_ptr<session>& each) { return each.expired(); });
                self->sessions.push_back(made);
                made->start(self->target);
            }
            self->accept();
        });
    }

    void set(const link& now)
    {
        *this->through = now;
        if (now.now == link_state::resetting) {
            this->end_sessions();
        }
    }

    void end_sessions()
    {
        for (const auto& each : this->sessions) {
            if (const auto open = each.lock()) {
                open->end();
            }
        }
    }

    asio::io_context& executor;
    tcp::acceptor acceptor;
    address target;
    std::shared_ptr<link> through = std::make_shared<link>();
    std::vector<std::weak_ptr<session>> sessions;
};

loopback_proxy::loopback_proxy(asio::io_context& executor, address target)
    : inner(std::make_shared<state>(executor, std::move(target)))
{
    asio::post(executor, [inside = this->inner] { inside->accept(); });
}

loopback_proxy::~loopback_proxy()
{
    asio::post(this->inner->executor, [inside = this->inner] {
        inside->acceptor.close();
        inside->end_sessions();
    });
}

address loopback_proxy::where() const
{
    return {"127.0.0.1", this->inner->acceptor.local_endpoint().port()};
}

void loopback_proxy::set(link_state now, duration delay)
{
    asio::post(this->inner->executor,
               [inside = this->inner, next = link{now, delay}] { inside->set(next); });
}

} // namespace azureshore::test_support
