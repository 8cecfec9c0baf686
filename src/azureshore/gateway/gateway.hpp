#pragma once

#include "azureshore/balance/dispatcher.hpp"
#include "azureshore/gateway/dialect.hpp"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace azureshore::gateway {

struct gateway_settings {
    vm_id name;
    data_centre_id data_centre;
    address callers;
    balance::shared_bounds bounds;
    // Memory of the machine; zero for what the system says.
    std::size_t memory_bytes = 0;
};

// Takes callers' requests in, sends them to backend servers as the dispatcher decides, and hands
// the answers back. All on one executor's thread.
class http_gateway {
public:
    // Listens at once; throws std::system_error when the address can't be had.
    http_gateway(asio::io_context& executor, const gateway_settings& settings, dialect words,
                 observe::decision_hook decided,
                 std::function<void(std::uint64_t fingerprint)> suspected);
    ~http_gateway();
    http_gateway(const http_gateway&) = delete;
    http_gateway& operator=(const http_gateway&) = delete;
    http_gateway(http_gateway&&) = delete;
    http_gateway& operator=(http_gateway&&) = delete;

    balance::dispatcher& decisions();

    // Puts a configuration in force; returns false for one that is older than that in force.
    bool configure(std::shared_ptr<const balance::traffic_configuration> next);

    void backend_removed(const backend_id& id);

    // Begins a planned stop: answers close their connections from now on, so that callers turn to
    // other daemons, and requests that may not end before the stop are refused.
    void begin_stop(const balance::planned_stop& plan);

    // Answers every request that is still in flight, since the daemon ends now.
    void end_stop();

    // Takes no new connections.
    void stop();

    // The port in use.
    [[nodiscard]] std::uint16_t port() const;

    // Requests whose answers are not sent whole.
    [[nodiscard]] std::size_t in_flight() const;

    // Counters in the Prometheus text format.
    [[nodiscard]] std::string metrics() const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::gateway
