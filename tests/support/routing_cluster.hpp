#pragma once

// A service in virtual time: entry VMs that run the real router, or a baseline on the same hooks,
// and backend servers made by hand.

#include "azureshore/configuration/effective.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/routing/service_router.hpp"
#include "support/fake_backend.hpp"
#include "support/virtual_clock.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace azureshore::fakes {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What makes the decisions of one VM.
struct routing_strategy {
    std::function<void(time_point, routing::ticket_request)> request;
    std::function<void(time_point, const routing::permit&, const routing::permit_use&)> finish;
    std::function<void(time_point, const vm_id&, const wire::message&)> receive;
    std::function<void(time_point, const backend_id&, const std::optional<routing::probe_result>&)>
        probed;
    std::function<void(time_point, std::shared_ptr<const configuration::effective_configuration>)>
        configure;
    std::function<void(time_point, membership::view_pointer)> update_members;
    std::function<void(time_point)> tick;
    std::function<time_point()> next_tick;
    std::function<void(time_point)> stop;
    std::function<std::vector<routing::backend_status>(time_point)> status;
};

using routing_strategy_factory = std::function<routing_strategy(
    vm_id, data_centre_id, service_id, random_source, routing::router_hooks)>;

// The product's own router.
inline routing_strategy make_service_router(vm_id self, data_centre_id here, service_id service,
                                            random_source random, routing::router_hooks hooks)
{
    auto made = std::make_shared<routing::service_router>(
        std::move(self), std::move(here), std::move(service), std::move(random), std::move(hooks));
    return {
        [made](auto now, auto wish) { made->request(now, std::move(wish)); },
        [made](auto now, const auto& used, const auto& use) { made->release(now, used, use); },
        [made](auto now, const auto& from, const auto& body) { made->receive(now, from, body); },
        [made](auto now, const auto& name, const auto& result) {
            made->handle_probe_result(now, name, result);
        },
        [made](auto now, auto wanted) { made->configure(now, std::move(wanted)); },
        [made](auto now, auto view) { made->update_members(now, std::move(view)); },
        [made](auto now) { made->tick(now); },
        [made] { return made->next_tick(); },
        [made](auto now) { made->stop(now); },
        [made](auto now) {
            return made->status(now);
        }};
}

struct cluster_setup {
    std::uint64_t seed = 1;
    std::vector<std::string> data_centres{"khan-el-khalili", "shubra", "maadi"};
    unsigned vms = 13;
    unsigned backends = 12;
    backend_traits traits;
    configuration::service_limits limits;
    duration trip = microseconds(500);
    duration connection_cost = milliseconds(1);
    duration probe_cost = milliseconds(6);
    unsigned max_attempts = 3;
    // One region for each data centre in place of one for all.
    bool region_per_data_centre = false;
    routing_strategy_factory make_strategy = make_service_router;
};

// What came of the requests.
struct outcome_counts {
    std::vector<double> latencies_ms;
    std::uint64_t begun = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    // Ended without an answer though an attempt had been made.
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t messages = 0;
    std::vector<time_point> probes;
    std::map<std::string, std::uint64_t> answered_of;
    std::map<std::string, std::vector<double>> latencies_of;
    // When each answer came, for goodput over time.
    std::vector<std::pair<time_point, double>> answers;
};

class cluster {
public:
    explicit cluster(cluster_setup wanted);

    // Tells every VM the configuration and the members as they are now.
    void publish();
    void tell_members(int vm, const membership::view_pointer& view);
    void begin(int vm, const std::string& caller, duration work, duration time_left);
    void kill_vm(int vm);
    void pause_vm(int vm, duration span);
    void set_out_of_service(const std::string& data_centre, bool out);

    [[nodiscard]] static vm_id vm_name(int vm) { return {"vm-" + std::to_string(vm)}; }
    [[nodiscard]] static backend_id backend_name(std::size_t backend)
    {
        return {"backend-" + std::to_string(backend)};
    }
    [[nodiscard]] membership::member_view members() const;
    // The VM that the common order puts first.
    [[nodiscard]] int first_leader() const;
    [[nodiscard]] std::vector<routing::backend_status> status_of(int vm);
    // Requests on living VMs that have not ended.
    [[nodiscard]] std::size_t unfinished() const;

    cluster_setup setup;
    virtual_clock clock;
    random_source random;
    std::vector<std::unique_ptr<fake_backend>> backends;
    outcome_counts counts;
    // What becomes of a message: one delay for each copy that arrives.
    std::function<std::vector<duration>(int from, int to, const wire::message&)> link;
    // Sees each decision that is logged.
    std::function<void(int vm, const observe::decision&)> log;
    std::set<int> dead;
    std::set<std::string> out_of_service;
    std::set<std::size_t> leaving_backends;

private:
    struct request {
        std::string caller;
        duration work{};
        time_point begun;
        time_point deadline;
        std::vector<backend_id> avoid;
        unsigned attempts = 0;
    };

    struct vm_state {
        routing_strategy decisions;
        std::map<std::uint64_t, request> requests;
        std::set<std::pair<std::size_t, std::string>> connections;
        time_point paused_until;
        time_point tick_at = time_point::max();
        std::uint64_t tick_number = 0;
    };

    [[nodiscard]] routing::router_hooks hooks_of(int vm);
    // Runs an action on a VM, once it is not paused.
    void on_vm(int vm, std::function<void()> action);
    void schedule_tick(int vm);
    void send(int from, const vm_id& to, const wire::message& body);
    void ask(int vm, std::uint64_t ticket);
    void granted(int vm, std::uint64_t ticket, const routing::permit& given);
    void attempt_ended(int vm, std::uint64_t ticket, const routing::permit& used,
                       const routing::permit_use& use);
    void probe(int vm, const backend_id& name);

    std::vector<std::unique_ptr<vm_state>> vms;
    std::map<backend_id, std::size_t> backend_index;
    std::uint64_t next_ticket = 1;
    std::uint64_t revision = 0;
};

} // namespace azureshore::fakes
