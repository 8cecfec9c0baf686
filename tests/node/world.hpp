#pragma once

#include "azureshore/configuration/tree.hpp"
#include "azureshore/node/entry_node.hpp"
#include "node/oracle.hpp"
#include "support/fake_log.hpp"
#include "support/virtual_clock.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace azureshore::testing {

// How much goes wrong between VMs; times are virtual.
struct network_faults {
    double loss = 0;
    double doubled = 0;
    duration trip = std::chrono::microseconds(500);
    // Extra delay of a message, up to this.
    duration jitter = std::chrono::microseconds(500);
};

struct world_plan {
    std::size_t vms = 3;
    std::size_t backends_per_service = 3;
    std::uint64_t seed = 1;
};

// Several entry nodes in virtual time with everything around them faked: the network, the
// platform's log and list of VMs, backend servers, callers and operators.
class world {
public:
    explicit world(const world_plan& plan);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;
    world(world&&) = delete;
    world& operator=(world&&) = delete;

    void run_for(duration span) { this->clock.run_for(span); }

    // Callers. A key names a request that may be sent again by its number; without one, a send
    // that is not idempotent has no second.
    std::uint64_t send_lookup(std::size_t vm);
    std::uint64_t send_keyed(std::size_t vm, const std::string& key);
    std::uint64_t send_unkeyed(std::size_t vm);
    // Sends a request that crashes each backend server that runs it; sent again later, it is the
    // same one while no VM was away and all messages arrive. Else nothing is sent.
    void send_poison(std::size_t vm);

    // Entry VMs.
    void kill(std::size_t vm);
    void restart(std::size_t vm);
    void pause(std::size_t vm, duration span);
    void cut(std::size_t from, std::size_t to, bool now_cut);
    [[nodiscard]] bool alive(std::size_t vm) const;

    // Backend servers.
    void crash_backend(std::size_t backend);
    void turn_cold(std::size_t backend);
    void set_leaving(std::size_t backend, bool leaving);

    // The platform.
    void set_log_up(bool up);
    void set_log_faults(double lost_acknowledgements, double stale_reads);
    void set_list_lag(duration lag) { this->list_lag = lag; }

    // Operators: appends a change made against the newest revision of one VM.
    void set_data_centre(const std::string& name, bool in_service);

    // Ends all faults and checks what holds once the world is quiet.
    void settle();

    // Gets the story line by line when set.
    std::function<void(const std::string&)> trace;
    network_faults network;
    promise_oracle oracle;
    // Backend servers that died under a poisoned request.
    std::map<std::string, unsigned> poison_deaths;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::map<std::string, std::uint64_t> refusals;

private:
    struct vm_state;
    struct backend_state;
    struct pending_send;

    std::uint64_t send(std::size_t vm, const std::string& service, const std::string& name,
                       const std::string& key, bool idempotent, bool poison);
    void start_vm(std::size_t vm);
    node::node_hooks hooks_of(std::size_t vm);
    // Runs an effect on a VM when it is neither killed nor paused; a paused one gets it later.
    void on_vm(std::size_t vm, std::uint64_t run, std::function<void()> effect);
    void deliver(std::size_t from, const vm_id& to, const wire::message& body);
    void answer(std::size_t vm, request_number request, const outcomes::caller_response& word);
    void start_attempt(std::size_t vm, const service_id& service,
                       const outcomes::attempt_request& order);
    void run_job(backend_state& at, std::uint64_t job);
    void end_job(backend_state& at, std::uint64_t job, outcomes::attempt_report report);
    void cancel(std::size_t vm, attempt_number attempt);
    void probe(std::size_t vm, const membership::backend_server& target,
               const node::probe_done& done);
    void poll_list(std::size_t vm, std::uint64_t run);
    void change_list();
    test::fake_log& stream(const std::string& name);
    backend_state* find_backend(const backend_id& name);
    void check_new_work(const backend_state& at);
    // Running requests, and the slots that the server has in its present state.
    [[nodiscard]] wire::load_report load_of(const backend_state& at) const;
    duration trip();
    void note(const std::string& what);

    fakes::virtual_clock clock;
    random_source random;
    std::deque<vm_state> vms;
    std::deque<backend_state> backends;
    std::map<std::string, std::unique_ptr<test::fake_log>> streams;
    bool log_up = true;
    double lost_acknowledgements = 0;
    double stale_reads = 0;
    duration list_lag{};
    std::map<std::uint64_t, pending_send> sends;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::uint64_t last_send = 0;
    std::uint64_t last_job = 0;
    std::uint64_t last_change = 0;
    std::uint64_t absences = 0;
    time_point next_poison;
    time_point last_disturbance;
    std::map<std::string, time_point> out_since;
    std::deque<std::pair<time_point, std::vector<platform::vm_entry>>> lists;
};

} // namespace azureshore::testing
