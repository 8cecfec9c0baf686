#pragma once

#include "azureshore/core/time.hpp"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace azureshore::daemon::detail {

// A thread with an Asio executor of its own.
class io_thread {
public:
    io_thread();
    ~io_thread();
    io_thread(const io_thread&) = delete;
    io_thread& operator=(const io_thread&) = delete;
    io_thread(io_thread&&) = delete;
    io_thread& operator=(io_thread&&) = delete;

    // Runs a function on the thread; may be called from any thread.
    void post(std::function<void()> work);

    // Runs a function on the thread after a delay; may be called from any thread.
    void after(duration delay, std::function<void()> work);

    // The thread's executor.
    asio::io_context& executor();

    // Ends the thread; work not begun is dropped.
    void stop();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::daemon::detail
