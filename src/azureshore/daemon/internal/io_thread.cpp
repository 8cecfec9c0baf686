#include "azureshore/daemon/internal/io_thread.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <thread>
#include <utility>

namespace azureshore::daemon::detail {

class io_thread::state {
public:
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> guard{context.get_executor()};
    std::thread worker;
};

io_thread::io_thread() : inner(std::make_unique<state>())
{
    this->inner->worker = std::thread([context = &this->inner->context] { context->run(); });
}

io_thread::~io_thread()
{
    this->stop();
}

void io_thread::post(std::function<void()> work)
{
    asio::post(this->inner->context, std::move(work));
}

void io_thread::after(duration delay, std::function<void()> work)
{
    auto timer = std::make_shared<asio::steady_timer>(this->inner->context, delay);
    timer->async_wait([timer, work = std::move(work)](const asio::error_code& error) {
        if (!error) {
            work();
        }
    });
}

asio::io_context& io_thread::executor()
{
    return this->inner->context;
}

void io_thread::stop()
{
    this->inner->context.stop();
    if (this->inner->worker.joinable()) {
        this->inner->worker.join();
    }
}

} // namespace azureshore::daemon::detail
