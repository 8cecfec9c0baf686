#pragma once

#include "azureshore/outcomes/request_engine.hpp"
#include "outcomes/fake_log.hpp"
#include "outcomes/oracle.hpp"
#include "support/virtual_clock.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace azureshore::outcomes::testing {

// Probabilities of faults of the network and the backend servers, from 0 to 1, and mean times.
struct cluster_faults {
    double lost_message = 0;
    double refused_permit = 0;
    double never_connected = 0;
    double backend_refused = 0;
    // The connection breaks before the backend server reads the request, or after it has run it.
    double lost_before_run = 0;
    double lost_after_run = 0;
    double no_answer = 0;
    double duplicate_report = 0;
    duration message_time = std::chrono::microseconds(500);
    duration service_time = std::chrono::milliseconds(10);
};

// One sending of a request by a caller.
struct sending_plan {
    // Identifies the work; sendings of the same order request the same work.
    std::uint64_t order = 0;
    bool idempotent = false;
    std::string key;
    bool poison = false;
    duration time_left = std::chrono::milliseconds(600);
};

// A simulation of several VMs: their engines run against a fake log, fake backend servers, callers
// and a fake network in virtual time.
class cluster {
public:
    cluster(std::uint64_t seed, std::size_t vm_count, std::size_t backend_count,
            configuration::service_limits service_limits = {}, run_once_limits log_limits = {});

    std::uint64_t send(std::size_t vm, const sending_plan& plan);
    void disconnect_caller(std::uint64_t sending);
    // The VM's process dies and is replaced by one without any state.
    void kill(std::size_t vm);
    void pause(std::size_t vm, duration span);
    void stop_reading(std::size_t vm) { this->vms[vm].reads_log = false; }

    [[nodiscard]] bool paused(std::size_t vm) const
    {
        return this->vms[vm].paused_until > this->time.now();
    }

    [[nodiscard]] const request_engine& engine(std::size_t vm) const
    {
        return *this->vms[vm].engine;
    }

    fakes::virtual_clock time{time_point(std::chrono::hours(1))};
    random_source random;
    fake_log log;
    cluster_faults faults;
    oracle invariant_checker;
    // Called with each decision, when set.
    std::function<void(const vm_id&, const std::string&)> on_decision;
    std::map<std::string, unsigned> responses;
    std::vector<caller_response> last_responses;
    unsigned backend_deaths = 0;
    std::uint64_t messages = 0;

private:
    struct vm_state {
        vm_id name;
        std::unique_ptr<request_engine> engine;
        std::uint64_t incarnation = 0;
        time_point paused_until;
        time_point next_tick = time_point::max();
        bool reads_log = true;
        // Sending ids by request number.
        std::unordered_map<std::uint64_t, std::uint64_t> sendings;
        std::set<std::uint64_t> reported;
    };
    struct sending_state {
        sending_plan plan;
        std::size_t vm = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t request = 0;
    };
    struct backend_state {
        backend_id name;
        time_point available_at;
        std::uint64_t incarnation = 0;
    };

    using engine_call = std::function<void(request_engine&)>;

    bool chance(double p) { return p > 0 && uniform(this->random) < p; }
    duration add_jitter(duration mean);
    void start_vm(std::size_t vm);
    engine_hooks hooks_for(std::size_t vm);
    // Calls the engine after `span`, unless the VM has died by then. A pause of the VM delays the
    // call.
    void call(std::size_t vm, duration span, engine_call function);
    void call_now(std::size_t vm, std::uint64_t incarnation, const engine_call& function);
    void schedule_tick(std::size_t vm);
    void read_stream(std::size_t vm, std::size_t stream, duration wait);
    void decide_permit(std::size_t vm, const attempt_permit_request& permit_request);
    void start(std::size_t vm, const attempt_request& attempt);
    void run(std::size_t vm, const attempt_request& attempt, backend_state& backend);
    void report(std::size_t vm, duration span, attempt_report report);
    void record_response(std::size_t vm, request_number number, const caller_response& response);
    void deliver(std::size_t from, const vm_id& to, const wire::message& body);

    configuration::service_limits limits;
    run_once_limits once_limits;
    std::vector<vm_state> vms;
    std::vector<backend_state> backends;
    std::vector<sending_state> sendings;
};

} // namespace azureshore::outcomes::testing
