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

// Names one wish for a permit within one service on one VM.
using ticket_number = basic_number<struct ticket_tag>;

// What a request needs from the router.
struct ticket_request {
    ticket_number ticket;
    time_point deadline;
    // Requests of one caller are queued fairly against other callers'.
    std::string caller;
    // Backend servers that this request has tried already.
    std::vector<backend_id> avoid;
};

// Leave to run one request on one backend server.
struct permit {
    permit_number number;
    cell_id cell;
    vm_id leader;
    backend_id backend;
    address endpoint;
    // A request must not be started on this permit at or after this time.
    time_point lease_until;
    // Requests that the leader believes the backend server bears at once, and whether it believes
    // it to be warm.
    unsigned concurrency_limit = 0;
    bool warm = false;
};

// How a permit was used, for the backend server's window.
struct permit_use {
    wire::usage result = wire::usage::unused;
    duration latency{};
    instance_id instance;
    std::optional<wire::load_report> load;
};

// What a load probe brought back.
struct probe_result {
    bool healthy = false;
    instance_id instance;
    std::optional<wire::load_report> load;
};

// One backend server as an operator sees it.
struct backend_status {
    backend_id name;
    data_centre_id data_centre;
    // "warm", "cold", "set_aside", "leaving" or "out".
    std::string state;
    double window = 0;
    std::uint32_t running = 0;
    std::uint64_t refused = 0;
};

// Where the router's actions go. Hooks must not call back into the router.
struct router_hooks {
    std::function<void(ticket_number, const permit&)> granted;
    std::function<void(ticket_number, wire::refusal_reason, duration retry_after)> refused;
    std::function<void(const vm_id& to, const wire::message&)> send;
    std::function<void(const membership::backend_server&)> probe;
    observe::decision_hook log;
};

// Chooses backend servers for one service on one VM: asks cells' leaders for permits, and leads
// the cells that fall to this VM. Has no threads, sockets or clock of its own.
class service_router {
public:
    service_router(vm_id self, data_centre_id here, service_id service, random_source random,
                   router_hooks hooks);
    ~service_router();
    service_router(const service_router&) = delete;
    service_router& operator=(const service_router&) = delete;
    service_router(service_router&&) = delete;
    service_router& operator=(service_router&&) = delete;

    // Takes the configuration in force; a revision below the last one is ignored.
    void configure(time_point now,
                   std::shared_ptr<const configuration::effective_configuration> configuration);

    // Takes what this VM now believes of the others.
    void update_members(time_point now, membership::view_pointer view);

    // Asks for a permit; ends in exactly one call of `granted` or `refused` unless cancelled.
    void request(time_point now, ticket_request wish);

    // Withdraws a wish; a permit that was granted meanwhile is given back unused.
    void cancel(time_point now, ticket_number ticket);

    // Gives a permit back.
    void release(time_point now, const permit& used, const permit_use& use);

    // Takes a message about this service from another VM.
    void receive(time_point now, const vm_id& from, const wire::message& body);

    // Takes the answer to a probe, or nothing when it failed.
    void handle_probe_result(time_point now, const backend_id& backend,
                             const std::optional<probe_result>& result);

    // Hands this VM's leads over; permits in use stay valid.
    void stop(time_point now);

    // Does what has become due.
    void tick(time_point now);

    // When `tick` is next needed.
    [[nodiscard]] time_point next_tick() const;

    // The backend servers of the cells that this VM leads.
    [[nodiscard]] std::vector<backend_status> status(time_point now) const;

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::routing
