#include "run.hpp"

#include "azureshore/core/address.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace azureshore::standin {

namespace {

constexpr int exit_wrong_use = 2;
constexpr std::size_t server_threads = 2;
constexpr std::size_t max_body = 16UL * 1024UL * 1024UL;
constexpr duration longest_answer = std::chrono::minutes(5);

} // namespace

class delays::state {
public:
    state() : worker([this] { this->context.run(); }) {}

    ~state()
    {
        this->context.stop();
        this->worker.join();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    asio::io_context context;

private:
    asio::executor_work_guard<asio::io_context::executor_type> guard{this->context.get_executor()};
    std::thread worker;
};

delays::delays() : inner(std::make_unique<state>()) {}

delays::~delays() = default;

void delays::after(duration span, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(this->inner->context, span);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) {
            action();
        }
    });
}

int serve(std::string_view kind, const std::string& listen,
          std::function<void(net::http_call, net::responder)> call)
{
    net::http_server_hooks hooks;
    hooks.call = std::move(call);
    return serve(kind, listen, std::move(hooks));
}

int serve(std::string_view kind, const std::string& listen, net::http_server_hooks hooks)
{
    const auto where = parse_address(listen);
    if (!where.ok()) {
        std::cerr << "--listen " << listen << ": " << where.status().message() << '\n';
        return exit_wrong_use;
    }
    asio::io_context context;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code&, int) { context.stop(); });
    net::http_server_settings settings;
    settings.where = *where;
    settings.threads = server_threads;
    settings.max_body = max_body;
    settings.handle_timeout = longest_answer;
    net::http_server server(settings, std::move(hooks));
    std::cout << kind << " listening on " << where->host << ':' << server.port() << std::endl;
    context.run();
    server.stop();
    return 0;
}

} // namespace azureshore::standin
