#pragma once

#include "azureshore/configuration/effective.hpp"
#include "azureshore/membership/view.hpp"
#include "azureshore/node/entry_node.hpp"
#include "azureshore/node/internal/actions.hpp"
#include "azureshore/node/internal/tick_timer.hpp"
#include "azureshore/outcomes/request_engine.hpp"
#include "azureshore/routing/service_router.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace azureshore::node::detail {

// What a shard needs of the node around it.
struct shard_world {
    const node_hooks* hooks = nullptr;
    // Sends to one VM, or to all others when `to` is empty.
    std::function<void(const vm_id& to, const wire::message&)> send;
    // Numbers attempts over all services of the VM.
    std::function<attempt_number()> next_attempt;
};

// One service on one VM: its router and its requests, under one lock.
class service_shard : public std::enable_shared_from_this<service_shard> {
public:
    service_shard(service_id name, const membership::member& self, std::uint64_t seed,
                  shard_world world);

    void configure(const std::shared_ptr<const configuration::effective_configuration>& tree);
    void update_members(const membership::view_pointer& view);
    void begin(const outcomes::incoming_request& request);
    void caller_gone(request_number request);
    void attempt_ended(const outcomes::attempt_report& report);
    void receive(const vm_id& from, const wire::message& body);
    void stop();

    [[nodiscard]] std::size_t in_flight() const;
    // Whether the outcomes of keyed requests are in the log.
    [[nodiscard]] bool settled() const;
    [[nodiscard]] service_status status() const;

private:
    outcomes::engine_hooks make_engine_hooks();
    routing::router_hooks make_router_hooks();
    void acquire(const outcomes::attempt_permit_request& wish);
    void release(attempt_number attempt);
    void granted(routing::ticket_number ticket, const routing::permit& given);
    void append(const std::string& stream, std::uint64_t id, std::string bytes);
    void probe(const membership::backend_server& backend);
    void decide(const std::function<void(time_point)>& decision);
    void arm();
    void follow_new_streams();
    void read_on(const std::string& stream, std::chrono::milliseconds wait);
    void log_read(const std::string& stream, const platform::read_result& result);

    service_id name;
    data_centre_id here;
    shard_world world;
    action_queue actions;
    routing::service_router router;
    outcomes::request_engine engine;
    tick_timer timer;
    std::unordered_map<attempt_number, routing::permit> permits;
    std::set<std::string> followed;
    std::uint64_t last_revision = 0;
    std::uint64_t last_version = 0;
};

} // namespace azureshore::node::detail
