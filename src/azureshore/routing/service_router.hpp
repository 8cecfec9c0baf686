#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::routing {

// Identifies one pending permit request within one service on one VM.
using ticket_number = basic_number<struct ticket_tag>;

// A request for a permit.
struct ticket_request {
    ticket_number ticket;
    time_point deadline;
    // Requests are queued fairly by caller: a caller with many requests delays only its own.
    std::string caller;
    // Backend servers that this request has tried already.
    std::vector<backend_id> avoid;
};

// Allows one request to run on one backend server.
struct permit {
    permit_number number;
    cell_id cell;
    vm_id leader;
    backend_id backend;
    address endpoint;
    // A request must not be started on this permit at or after this time.
    time_point lease_until;
    // How many requests the leader expects the backend server to run at once, and whether it
    // considers the backend server warm.
    unsigned concurrency_limit = 0;
    bool warm = false;
};

// How a permit was used; the leader adapts the backend server's concurrency limit to it.
struct permit_use {
    wire::usage result = wire::usage::unused;
    duration latency{};
    instance_id instance;
    std::optional<wire::load_report> load;
};

// The result of a load probe.
struct probe_result {
    bool healthy = false;
    instance_id instance;
    std::optional<wire::load_report> load;
};

// The status of one backend server as reported to operators.
struct backend_status {
    backend_id name;
    data_centre_id data_centre;
    // "warm", "cold", "set_aside", "leaving" or "out".
    std::string state;
    // The concurrency limit at present, and the number of permits in use.
    double window = 0;
    std::uint32_t running = 0;
    std::uint64_t refused = 0;
};

// The router acts through these hooks. They must not call back into the router.
struct router_hooks {
    std::function<void(ticket_number, const permit&)> granted;
    std::function<void(ticket_number, wire::refusal_reason, duration retry_after)> refused;
    std::function<void(const vm_id& recipient, const wire::message&)> send;
    std::function<void(const membership::backend_server&)> probe;
    observe::decision_hook log;
};

// Chooses backend servers for one service on one VM. It requests permits from the leaders of the
// service's pools, and leads the pools assigned to this VM. It has no threads, sockets or clock of
// its own.
class service_router {
public:
    service_router(vm_id self, data_centre_id data_centre, service_id service, random_source random,
                   router_hooks hooks);
    ~service_router();
    service_router(const service_router&) = delete;
    service_router& operator=(const service_router&) = delete;
    service_router(service_router&&) = delete;
    service_router& operator=(service_router&&) = delete;

    // Applies a configuration; a revision older than the current one is ignored.
    void configure(time_point now,
                   std::shared_ptr<const configuration::effective_configuration> configuration);

    // Applies this VM's current view of the members.
    void update_members(time_point now, membership::view_pointer view);

    // Requests a permit. Calls `granted` or `refused` exactly once unless the request is cancelled.
    void request(time_point now, ticket_request request);

    // Withdraws a permit request; a permit that was granted meanwhile is returned unused.
    void cancel(time_point now, ticket_number ticket);

    // Returns a permit to its leader, with the result of its use.
    void release(time_point now, const permit& held, const permit_use& use);

    // Handles a message about this service from another VM.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Handles the result of a probe; an empty result means that the probe failed.
    void handle_probe_result(time_point now, const backend_id& backend,
                             const std::optional<probe_result>& result);

    // Gives up leadership of all pools; permits in use stay valid.
    void stop(time_point now);

    // Runs all work that is due.
    void tick(time_point now);

    // Returns when `tick` must next be called.
    [[nodiscard]] time_point next_tick() const;

    // Returns the status of the backend servers in the pools that this VM leads.
    [[nodiscard]] std::vector<backend_status> status(time_point now) const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::routing
