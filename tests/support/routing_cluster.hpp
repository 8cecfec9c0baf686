#pragma once

// Simulates a service in virtual time. The entry VMs run the real router, or a baseline with the
// same hooks, against fake backend servers.

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

// The functions of a routing algorithm on one VM, with the interface of service_router.
struct routing_strategy {
    std::function<void(time_point, routing::ticket_request)> request;
    std::function<void(time_point, const routing::permit&, const routing::permit_use&)> release;
    std::function<void(time_point, const vm_id&, const wire::message&)> receive;
    std::function<void(time_point, const backend_id&, const std::optional<routing::probe_result>&)>
        handle_probe_result;
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

// Uses the real service_router.
inline routing_strategy make_service_router(vm_id self, data_centre_id data_centre,
                                            service_id service, random_source random,
                                            routing::router_hooks hooks)
{
    auto router = std::make_shared<routing::service_router>(std::move(self), std::move(data_centre),
                                                            std::move(service), std::move(random),
                                                            std::move(hooks));
    return {[router](auto now, auto request) { router->request(now, std::move(request)); },
            [router](auto now, const auto& permit, const auto& use) {
                router->release(now, permit, use);
            },
            [router](auto now, const auto& from, const auto& body) {
                router->receive(now, from, body);
            },
            [router](auto now, const auto& name, const auto& result) {
                router->handle_probe_result(now, name, result);
            },
            [router](auto now, auto configuration) {
                router->configure(now, std::move(configuration));
            },
            [router](auto now, auto view) { router->update_members(now, std::move(view)); },
            [router](auto now) { router->tick(now); },
            [router] { return router->next_tick(); },
            [router](auto now) { router->stop(now); },
            [router](auto now) {
                return router->status(now);
            }};
}

struct cluster_setup {
    std::uint64_t seed = 1;
    std::vector<std::string> data_centres{"khan-el-khalili", "shubra", "maadi"};
    unsigned vms = 13;
    unsigned backends = 12;
    backend_traits traits;
    configuration::service_limits limits;
    duration network_delay = microseconds(500);
    duration connection_cost = milliseconds(1);
    duration probe_cost = milliseconds(6);
    unsigned max_attempts = 3;
    // Whether each data centre is a region of its own; otherwise one region holds all.
    bool region_per_data_centre = false;
    routing_strategy_factory make_strategy = make_service_router;
};

// Counts the outcomes of the requests.
struct outcome_counts {
    std::vector<double> latencies_ms;
    std::uint64_t begun = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    // Requests that ended without an answer after at least one attempt.
    std::uint64_t failed = 0;
    std::uint64_t attempts = 0;
    std::uint64_t messages = 0;
    std::vector<time_point> probes;
    std::map<std::string, std::uint64_t> answered_by_caller;
    std::map<std::string, std::vector<double>> latencies_by_caller_ms;
    // The time and the latency in milliseconds of each answer.
    std::vector<std::pair<time_point, double>> answers;
};

class cluster {
public:
    explicit cluster(cluster_setup cluster_settings);

    // Sends the current configuration and member view to every VM.
    void publish();
    void send_members(int vm, const membership::view_pointer& view);
    void begin(int vm, const std::string& caller, duration service_time, duration time_left);
    void kill_vm(int vm);
    void pause_vm(int vm, duration length);
    void set_out_of_service(const std::string& data_centre, bool out);

    [[nodiscard]] static vm_id vm_name(int vm) { return {"vm-" + std::to_string(vm)}; }
    [[nodiscard]] static backend_id backend_name(std::size_t backend)
    {
        return {"backend-" + std::to_string(backend)};
    }
    [[nodiscard]] membership::member_view members() const;
    // Returns the VM that is the first candidate for leadership.
    [[nodiscard]] int first_leader() const;
    [[nodiscard]] std::vector<routing::backend_status> status_of(int vm);
    // Returns the number of requests on live VMs that have not ended.
    [[nodiscard]] std::size_t unfinished() const;

    cluster_setup setup;
    virtual_clock clock;
    random_source random;
    std::vector<std::unique_ptr<fake_backend>> backends;
    outcome_counts counts;
    // Returns one delay for each copy of a message that arrives; none if the message is lost.
    std::function<std::vector<duration>(int from, int to, const wire::message&)> link;
    // Receives each logged decision.
    std::function<void(int vm, const observe::decision&)> log;
    std::set<int> dead;
    std::set<std::string> out_of_service;
    std::set<std::size_t> leaving_backends;

private:
    struct request {
        std::string caller;
        duration service_time{};
        time_point started;
        time_point deadline;
        std::vector<backend_id> avoid;
        unsigned attempts = 0;
    };

    struct vm_state {
        routing_strategy strategy;
        std::map<std::uint64_t, request> requests;
        std::set<std::pair<std::size_t, std::string>> connections;
        time_point paused_until;
        time_point tick_at = time_point::max();
        std::uint64_t tick_number = 0;
    };

    [[nodiscard]] routing::router_hooks hooks_of(int vm);
    // Runs an action on a VM, after its pause if it is paused. Dead VMs run nothing.
    void on_vm(int vm, std::function<void()> action);
    void schedule_tick(int vm);
    void send(int from, const vm_id& to, const wire::message& body);
    void request_permit(int vm, std::uint64_t ticket);
    void start_attempt(int vm, std::uint64_t ticket, const routing::permit& permit);
    void end_attempt(int vm, std::uint64_t ticket, const routing::permit& permit,
                     const routing::permit_use& use);
    void probe(int vm, const backend_id& name);

    std::vector<std::unique_ptr<vm_state>> vms;
    std::map<backend_id, std::size_t> backend_index;
    std::uint64_t next_ticket = 1;
    std::uint64_t revision = 0;
};

} // namespace azureshore::fakes
