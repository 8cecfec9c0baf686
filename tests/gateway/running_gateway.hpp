#pragma once

#include "azureshore/gateway/gateway.hpp"
#include "support/raw_client.hpp"
#include "support/raw_server.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::test {

// Answers one request that is no health check; false ends the connection.
using answer_function = std::function<bool(test_support::raw_connection&, const std::string&)>;

// A backend server on loopback that answers health checks by itself.
std::unique_ptr<test_support::raw_server> make_backend(const std::string& name,
                                                       answer_function answer);

// An answer with a body to a request, as a well-behaved backend server gives it.
std::string answer_to(const std::string& request, const std::string& body,
                      const std::string& more_fields = "");

// A gateway on loopback with one service, `plates`, below /plates/ for idempotent requests and
// below /orders/ for others.
class running_gateway {
public:
    running_gateway();
    // One that knows neither a configuration nor backend servers yet.
    explicit running_gateway(std::nullopt_t unconfigured);
    ~running_gateway();
    running_gateway(const running_gateway&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;
    running_gateway(running_gateway&&) = delete;
    running_gateway& operator=(running_gateway&&) = delete;

    // Puts limits in force for callers to come.
    void configure(const balance::caller_limits& limits);
    // Puts a list of client accounts in force.
    void configure(std::vector<balance::client_account> accounts);
    void add_backend(const std::string& name, const test_support::raw_server& at);

    // Runs on the gateway's thread and waits for its end.
    void run(const std::function<void(gateway::http_gateway&)>& work);

    [[nodiscard]] std::uint16_t port() const;

    // The log so far, a line for each event.
    std::string log();

private:
    void configure(const balance::caller_limits& limits,
                   std::optional<std::vector<balance::client_account>> accounts);

    class state;
    std::unique_ptr<state> inner;
};

// A caller's request with the fields that every one has.
std::string request_text(const std::string& line, const std::string& id,
                         const std::string& more_fields = "", const std::string& body = "");

} // namespace azureshore::test
