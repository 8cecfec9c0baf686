#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/routing/internal/backend_selector.hpp"
#include "azureshore/routing/internal/backend_table.hpp"
#include "azureshore/routing/internal/leader_lease.hpp"
#include "azureshore/routing/internal/probe_token_bucket.hpp"
#include "azureshore/routing/internal/ticket_queue.hpp"
#include "azureshore/routing/service_router.hpp"
#include "azureshore/wire/message.hpp"

#include <cstdint>
#include <functional>
#include <set>
#include <string_view>
#include <vector>

namespace azureshore::routing::detail {

// A pool's settings and members.
struct pool_setup {
    std::vector<backend_setup> backends;
    // The VMs whose support a leader needs.
    std::vector<vm_id> voters;
    double probes_per_second = 0;
    double outlier_share = 0;
    // Longest deadline of a request: no request of an earlier leader runs for longer.
    duration max_run_time{};
    // Whether this VM comes first in the order of leaders.
    bool first_in_order = true;
};

struct leader_hooks {
    std::function<void(const vm_id& recipient, const wire::message&)> send;
    std::function<void(const membership::backend_server&)> probe;
    observe::decision_hook log;
};

// Leads one pool: tracks the requests on each backend server, queues tickets and grants permits.
class pool_leader {
public:
    pool_leader(time_point now, pool_id pool, vm_id self, std::uint64_t first_permit,
                leader_hooks hooks);

    void update(time_point now, const pool_setup& setup);

    void request(time_point now, const vm_id& from, const wire::permit_request& request);
    void cancel(time_point now, const vm_id& from, const wire::permit_cancel& cancelled);
    void handle_return(time_point now, const vm_id& from, const wire::permit_return& returned);
    void report(time_point now, const vm_id& from, const wire::permit_report& report);
    void handle_probe_result(time_point now, const backend_id& backend,
                             const std::optional<probe_result>& result);

    // Records that another VM claims to lead this pool.
    void rival_claimed(time_point now);

    // Refuses every waiting ticket, so that its VM asks the next leader, and accepts no more.
    void stop(time_point now);

    void tick(time_point now);

    // Whether no request has arrived for `idle_leader_timeout`, no ticket waits and no permit may
    // still be in use.
    [[nodiscard]] bool idle(time_point now) const;

    // Whether no work is due before the next message.
    [[nodiscard]] bool has_no_scheduled_work(time_point now) const;

    void add_status(std::vector<backend_status>& rows) const;

private:
    // Grants permits to waiting tickets while backend servers are available.
    void grant_waiting(time_point now);
    [[nodiscard]] bool ready(time_point now) const;
    [[nodiscard]] bool may_use_cold(time_point now, const backend_entry& backend) const;
    bool grant_next(time_point now);
    void grant(time_point now, const queued_ticket& ticket, backend_entry& backend, bool contended);
    void send_grant(const permit_record& record, bool contended);
    void refuse(const vm_id& recipient, std::uint64_t ticket, wire::refusal_reason reason,
                duration retry_after);
    void refuse_excess(time_point now);
    void refuse_expired(time_point now);
    [[nodiscard]] duration estimated_wait(std::size_t tickets) const;

    void record_outcome(time_point now, const permit_record& record,
                        const wire::permit_return& returned);
    void record_untracked_load(time_point now, backend_entry& backend,
                               const std::optional<wire::load_report>& load);
    [[nodiscard]] bool granted_by_this_instance(const permit_key& key) const;
    void adopt_reported_state(const wire::known_backend& reported);

    void claim_if_needed(time_point now);
    void claim(time_point now);
    [[nodiscard]] bool needs_support(time_point now) const;
    void probe_if_needed(time_point now);
    [[nodiscard]] backend_entry* next_to_probe(time_point now) const;
    [[nodiscard]] bool needs_probe(time_point now, const backend_entry& backend) const;
    void verify_by_elapsed_time(time_point now);
    // Logs one decision about this pool.
    void log_decision(std::string_view event, std::vector<observe::decision_field> fields);

    pool_id pool;
    vm_id self;
    leader_hooks hooks;
    std::uint64_t first_permit;
    std::uint64_t next_permit;
    time_point created;
    bool stopped = false;
    std::vector<vm_id> voters;
    std::set<vm_id> reporting_vms;
    // Backend servers for which some VM reported a failure last.
    std::set<backend_id> failing_backends;
    duration max_run_time{};
    bool first_in_order = true;
    backend_table table;
    ticket_queue queue;
    leader_lease lease;
    probe_token_bucket bucket;
    backend_selector selector;
    time_point last_request;
    time_point rival_until;
    time_point next_expiry_check;
};

} // namespace azureshore::routing::detail
