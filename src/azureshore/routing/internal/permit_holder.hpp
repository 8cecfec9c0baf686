#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/routing/internal/backend_table.hpp"
#include "azureshore/routing/internal/lead_lease.hpp"
#include "azureshore/routing/internal/leader_choice.hpp"
#include "azureshore/routing/internal/spill_choice.hpp"
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
    std::function<void(const vm_id& to, wire::message)> send;
    observe::decision_hook log;
};

// A pool as a VM that needs permits sees it: who may lead it, best first.
struct pool_view {
    region_id region;
    std::vector<vm_id> leaders;
    bool in_service = false;
};

// Asks leaders for permits on behalf of this VM's requests and accounts for the permits it holds.
class permit_holder {
public:
    permit_holder(service_id service, std::uint64_t first_epoch, holder_hooks hooks);

    void started(time_point now) { this->start = now; }
    void update(time_point now, const std::vector<pool_view>& pools, const region_id& home);

    void request(time_point now, ticket_request wish);
    void cancel(time_point now, ticket_number ticket);
    void finish(time_point now, const permit& used, const permit_use& use);

    void granted(time_point now, const vm_id& from, const wire::permit_grant& grant);
    void refused(time_point now, const vm_id& from, const wire::permit_refusal& refusal);
    void queued(time_point now, const vm_id& from, const wire::permit_queued& told);
    void claimed(time_point now, const vm_id& from, const wire::leader_claim& claim);

    void tick(time_point now);
    [[nodiscard]] bool busy() const { return !this->asks.empty() || !this->held.empty(); }
    // When permits that ride on the next request are given back at the latest.
    [[nodiscard]] time_point returns_due() const;

private:
    // One ticket at one leader.
    struct ask {
        ticket_request wish;
        region_id region;
        vm_id leader;
        time_point first_sent;
        time_point sent;
        // Pools that refused this wish.
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

    struct knowledge {
        instance_id instance;
        std::uint32_t bears = 0;
        time_point learnt_at;
    };

    struct pool_state {
        explicit pool_state(std::uint64_t first_epoch) : support(first_epoch) {}

        leader_choice leaders;
        lead_support support;
        vm_id asked_last;
        std::map<backend_id, knowledge> known;
        // Returns that wait to ride on the next request to their leader.
        std::map<vm_id, std::vector<wire::permit_return>> returns;
        time_point returns_due = time_point::max();
    };

    using ask_map = std::map<std::uint64_t, ask>;

    pool_state& state_of(const region_id& region);
    pool_id pool_of(const region_id& region) const { return {this->service, region}; }
    // Sends a wish to the leader of the best pool, or refuses it.
    void place(time_point now, ask wanted);
    void send_ask(time_point now, std::uint64_t number, ask& asked);
    void ask_elsewhere(time_point now, ask_map::iterator which);
    void give_up(const ask& asked);
    void give_back_unused(const vm_id& leader, const wire::permit_grant& grant);
    void queue_return(time_point now, const vm_id& leader, wire::permit_return returned,
                      bool at_once);
    void send_returns(pool_state& pool);
    void learn(time_point now, pool_state& pool, const backend_id& backend, const permit_use& use);
    void send_report(time_point now, const vm_id& to, const region_id& region, std::uint64_t round,
                     lead_support::answer answer);
    void renew(time_point now);
    void check_leaders(time_point now);

    service_id service;
    std::uint64_t first_epoch;
    holder_hooks hooks;
    time_point start;
    time_point last_tick;
    std::uint64_t next_ask = 1;
    ask_map asks;
    std::unordered_map<std::uint64_t, std::uint64_t> ask_of;
    std::unordered_map<permit_key, held_entry, permit_key_hash> held;
    std::map<region_id, pool_state> pools;
    spill_choice spill;
};

} // namespace azureshore::routing::detail
