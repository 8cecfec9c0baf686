#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/routing/internal/backend_table.hpp"
#include "azureshore/routing/internal/leader_lease.hpp"
#include "azureshore/routing/internal/leader_selector.hpp"
#include "azureshore/routing/internal/region_selector.hpp"
#include "azureshore/routing/service_router.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace azureshore::routing::detail {

struct holder_hooks {
    std::function<void(ticket_number, const permit&)> granted;
    std::function<void(ticket_number, wire::refusal_reason, duration retry_after)> refused;
    std::function<void(const vm_id& recipient, wire::message)> send;
    observe::decision_hook log;
};

// A pool from the view of a VM that requests permits. `leaders` lists the candidates in order of
// preference.
struct pool_view {
    region_id region;
    std::vector<vm_id> leaders;
    bool in_service = false;
};

// Requests permits from leaders on behalf of this VM's requests, and tracks the permits it holds.
class permit_holder {
public:
    permit_holder(service_id service, std::uint64_t first_epoch, holder_hooks hooks);

    void started(time_point now) { this->start = now; }
    void update(time_point now, const std::vector<pool_view>& pools, const region_id& local_region);

    void request(time_point now, ticket_request request);
    void cancel(time_point now, ticket_number ticket);
    void release(time_point now, const permit& held_permit, const permit_use& use);

    void handle_grant(time_point now, const vm_id& from, const wire::permit_grant& grant);
    void handle_refusal(time_point now, const vm_id& from, const wire::permit_refusal& refusal);
    void handle_queued(time_point now, const vm_id& from, const wire::permit_queued& message);
    void handle_claim(time_point now, const vm_id& from, const wire::leader_claim& claim);

    void tick(time_point now);
    [[nodiscard]] bool busy() const
    {
        return !this->pending_tickets.empty() || !this->held.empty();
    }
    // Returns when the batched permit returns must be sent at the latest.
    [[nodiscard]] time_point next_return_due() const;

private:
    // A permit request that was sent to a leader and not yet answered.
    struct pending_ticket {
        ticket_request request;
        region_id region;
        vm_id leader;
        time_point first_sent;
        time_point sent;
        // Regions whose pools refused this request.
        std::vector<region_id> tried;
        wire::refusal_reason last_refusal = wire::refusal_reason::no_backend;
        duration retry_after{};
    };

    struct held_entry {
        region_id region;
        backend_id backend;
        time_point deadline;
        time_point renewed;
        bool contended = false;
    };

    struct backend_observation {
        instance_id instance;
        std::uint32_t bears = 0;
        time_point observed_at;
    };

    struct pool_state {
        explicit pool_state(std::uint64_t first_epoch) : support(first_epoch) {}

        leader_selector leaders;
        leader_support support;
        vm_id last_leader;
        std::map<backend_id, backend_observation> known;
        // Permit returns that are batched with the next request to the same leader.
        std::map<vm_id, std::vector<wire::permit_return>> returns;
        time_point next_return_due = time_point::max();
    };

    using pending_map = std::map<std::uint64_t, pending_ticket>;

    pool_state& state_of(const region_id& region);
    pool_id pool_of(const region_id& region) const { return {this->service, region}; }
    // Sends a request to the leader of the best pool, or refuses it if no pool is left.
    void submit(time_point now, pending_ticket pending);
    void send_request(time_point now, std::uint64_t number, pending_ticket& pending);
    void reroute(time_point now, pending_map::iterator position);
    void refuse_ticket(const pending_ticket& pending);
    void return_unused(const vm_id& leader, const wire::permit_grant& grant);
    void queue_return(time_point now, const vm_id& leader, wire::permit_return returned,
                      bool send_now);
    void send_returns(pool_state& pool);
    void record_result(time_point now, pool_state& pool, const backend_id& backend,
                       const permit_use& use);
    void send_report(time_point now, const vm_id& leader, const region_id& region,
                     std::uint64_t round, leader_support::answer answer);
    void renew(time_point now);
    void check_leaders(time_point now);

    service_id service;
    std::uint64_t first_epoch;
    holder_hooks hooks;
    time_point start;
    time_point last_tick;
    std::uint64_t next_number = 1;
    pending_map pending_tickets;
    std::unordered_map<std::uint64_t, std::uint64_t> number_by_ticket;
    std::unordered_map<permit_key, held_entry, permit_key_hash> held;
    std::map<region_id, pool_state> pools;
    region_selector region_choice;
};

} // namespace azureshore::routing::detail
