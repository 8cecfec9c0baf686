#pragma once

#include "azureshore/configuration/replica.hpp"
#include "azureshore/membership/member_table.hpp"
#include "azureshore/node/entry_node.hpp"
#include "azureshore/node/internal/actions.hpp"
#include "azureshore/node/internal/tick_timer.hpp"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace azureshore::node::detail {

using configuration_pointer = std::shared_ptr<const configuration::effective_configuration>;

// Where the control shard tells what changed; called without its lock held.
struct control_hooks {
    std::function<void(const membership::view_pointer&)> view_changed;
    std::function<void(const configuration_pointer&)> configuration_changed;
};

// What a VM knows of all services alike: the other VMs and the configuration, under one lock.
class control_shard : public std::enable_shared_from_this<control_shard> {
public:
    control_shard(const membership::member& self, std::uint64_t seed, const node_hooks* world,
                  control_hooks changed, const membership::member_options& options);

    // Begins to follow the configuration stream.
    void start();

    // Takes a message of membership or configuration.
    void receive(const wire::envelope& received);

    void update_list(const std::vector<platform::vm_entry>& entries);

    // Tells the others that this VM is about to stop.
    void leave();

    // Sends to one VM, or to all others when `to` is empty.
    void send(const vm_id& to, const wire::message& body) const;

    [[nodiscard]] membership::view_pointer view() const;

    // The configuration in force; null until the first is known.
    [[nodiscard]] configuration_pointer tree() const;

    [[nodiscard]] configuration::replica_counters counters() const;

    // Why no configuration is in force yet.
    [[nodiscard]] configuration::readiness readiness() const;

private:
    membership::member_hooks make_member_hooks();
    configuration::replica_hooks make_replica_hooks();
    void take_view(const membership::view_pointer& seen);
    void take_configuration(const configuration_pointer& wanted);
    void tell_peers(const membership::member_view& seen) const;
    void send_to_unseen(const vm_id& to, const wire::message& body) const;
    void append(std::uint64_t id, std::string bytes);
    void read_configuration();
    void configuration_read(const platform::read_result& result);
    void decide(const std::function<void(time_point)>& decision);
    void arm();

    vm_id self;
    const node_hooks* world;
    control_hooks changed;
    action_queue actions;
    tick_timer timer;
    membership::member_table members;
    configuration::replica replica;

    // What was last published, for readers on any thread.
    mutable std::mutex known_lock;
    membership::view_pointer known_view = std::make_shared<membership::member_view>();
    configuration_pointer known_tree;
};

} // namespace azureshore::node::detail
