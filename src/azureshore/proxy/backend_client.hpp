#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/outcomes/attempt.hpp"
#include "azureshore/wire/permit_messages.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace asio {
class io_context;
}

namespace azureshore::proxy {

// What a load probe brought back.
struct probe_answer {
    bool healthy = false;
    instance_id instance;
    std::optional<wire::load_report> load;
};

struct backend_client_hooks {
    // The end of an attempt; once for each, and never from within `start` or `cancel`.
    std::function<void(const outcomes::attempt_report&)> ended;
};

// Sends attempts and load probes to backend servers. Used on its executor's thread alone; attempt
// numbers are unique within one client.
class backend_client {
public:
    // `self` names this run of the process in the attempts' names.
    backend_client(asio::io_context& executor, instance_id self, backend_client_hooks hooks);
    ~backend_client();
    backend_client(const backend_client&) = delete;
    backend_client& operator=(const backend_client&) = delete;
    backend_client(backend_client&&) = delete;
    backend_client& operator=(backend_client&&) = delete;

    // Sends an attempt.
    void start(const outcomes::attempt_request& order);

    // Closes an attempt's connection; its report says whether a connection had been made. Does
    // nothing for an attempt that has ended.
    void cancel(attempt_number attempt);

    // Asks a backend server for its load; `done` gets nothing when no answer came in time.
    void probe(const address& where, duration timeout,
               std::function<void(std::optional<probe_answer>)> done);

    // Attempts under way.
    [[nodiscard]] std::size_t in_flight() const;

private:
    struct running_attempt {
        net::transfer_number transfer = 0;
        std::string name;
        time_point started;
    };

    void ended(attempt_number attempt, net::http_result result);
    void report_cancelled(attempt_number attempt, bool connected, duration latency);

    asio::io_context& executor;
    instance_id self;
    backend_client_hooks hooks;
    std::unordered_map<attempt_number, running_attempt> running;
    // Expires with the client, so that a report posted to the executor finds out.
    std::shared_ptr<char> alive = std::make_shared<char>();
    net::http_client client;
};

// Reads a load as backend servers send it: running=2, slots=4.
std::optional<wire::load_report> parse_load(std::string_view text);

} // namespace azureshore::proxy
