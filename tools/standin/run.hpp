#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace azureshore::standin {

// Timers for a stand-in, on a thread of its own.
class delays {
public:
    delays();
    ~delays();
    delays(const delays&) = delete;
    delays& operator=(const delays&) = delete;
    delays(delays&&) = delete;
    delays& operator=(delays&&) = delete;

    // Runs `action` after `span` on the timers' thread.
    void after(duration span, std::function<void()> action);

private:
    class state;
    std::unique_ptr<state> inner;
};

// A service together with the timers that call it. The timers are destroyed first, since their
// thread may still run an action that uses the service.
template <class Service>
class timed_service {
public:
    template <class Limits>
    explicit timed_service(const Limits& limits)
        : service(limits, [this](duration span, std::function<void()> action) {
              this->timers.after(span, std::move(action));
          })
    {
    }

    Service service;

private:
    delays timers;
};

// Serves `call` at `listen`, prints "KIND listening on HOST:PORT", and returns the exit status
// once SIGTERM or SIGINT has come.
int serve(std::string_view kind, const std::string& listen,
          std::function<void(net::http_call, net::responder)> call);

// The same with all hooks of the server.
int serve(std::string_view kind, const std::string& listen, net::http_server_hooks hooks);

} // namespace azureshore::standin
