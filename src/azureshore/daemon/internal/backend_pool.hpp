#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/daemon/internal/io_thread.hpp"
#include "azureshore/node/entry_node.hpp"
#include "azureshore/outcomes/attempt.hpp"
#include "azureshore/proxy/backend_client.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace azureshore::daemon::detail {

using attempt_ended = std::function<void(const service_id&, const outcomes::attempt_report&)>;

// Spreads attempts over threads, each with connections of its own.
class backend_pool {
public:
    backend_pool(std::size_t threads, const instance_id& self, attempt_ended ended);

    // May be called from any thread.
    void start(const service_id& service, const outcomes::attempt_request& order);
    void cancel(attempt_number attempt);
    void probe(const membership::backend_server& backend, node::probe_done done);

    // Ends the threads; attempts under way are dropped.
    void stop();

private:
    struct worker {
        io_thread thread;
        std::unique_ptr<proxy::backend_client> client;
        std::unordered_map<attempt_number, service_id> services;
    };

    worker& worker_of(std::uint64_t number);
    void report(worker& from, const outcomes::attempt_report& report);

    attempt_ended ended;
    std::vector<std::unique_ptr<worker>> workers;
};

} // namespace azureshore::daemon::detail
