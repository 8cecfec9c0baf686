#include "azureshore/node/internal/control_shard.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::node::detail {

namespace {

constexpr std::chrono::milliseconds read_wait{10'000};
constexpr std::chrono::milliseconds read_retry{250};

} // namespace

control_shard::control_shard(const membership::member& me, std::uint64_t seed,
                             const node_hooks* around, control_hooks told,
                             const membership::member_options& options)
    : self(me.name), world(around), changed(std::move(told)),
      members(me, seeded_random(seed), this->make_member_hooks(), options),
      replica(me.name, seeded_random(seed + 1), this->make_replica_hooks())
{
}

void control_shard::start()
{
    this->decide([](time_point) {});
    this->read_configuration();
}

void control_shard::receive(const wire::envelope& received)
{
    this->decide([&](time_point now) {
        if (const auto* beat = std::get_if<wire::heartbeat>(&received.body)) {
            this->replica.peer_revision(now, received.from, beat->revision);
        }
        this->members.receive(now, received.from, received.body);
        this->replica.receive(now, received.from, received.body);
    });
}

void control_shard::update_list(const std::vector<platform::vm_entry>& entries)
{
    this->decide([&](time_point now) { this->members.update_list(now, entries); });
}

void control_shard::leave()
{
    this->decide([&](time_point now) { this->members.leave(now); });
}

membership::member_hooks control_shard::make_member_hooks()
{
    membership::member_hooks made;
    made.send = [this](const vm_id& to, const wire::message& body) {
        this->actions.outside([this, to, body] { this->send(to, body); });
    };
    made.view_changed = [this](const membership::view_pointer& seen) {
        this->actions.inside([this, seen] { this->take_view(seen); });
    };
    made.log = [this](const observe::decision& each) {
        this->actions.outside([this, each] { this->world->decided(each); });
    };
    return made;
}

configuration::replica_hooks control_shard::make_replica_hooks()
{
    configuration::replica_hooks made;
    made.send = [this](const vm_id& to, const wire::message& body) {
        this->actions.outside([this, to, body] { this->send(to, body); });
    };
    made.append = [this](std::uint64_t id, std::string bytes) {
        this->actions.outside(
            [this, id, bytes = std::move(bytes)]() mutable { this->append(id, std::move(bytes)); });
    };
    made.in_force = [this](const configuration_pointer& wanted) {
        this->actions.inside([this, wanted] { this->take_configuration(wanted); });
    };
    made.log = [this](const observe::decision& each) {
        this->actions.outside([this, each] { this->world->decided(each); });
    };
    return made;
}

void control_shard::take_view(const membership::view_pointer& seen)
{
    {
        const std::lock_guard hold(this->known_lock);
        this->known_view = seen;
    }
    std::vector<vm_id> peers;
    for (const auto& each : seen->members) {
        if (each.name != this->self) {
            peers.push_back(each.name);
        }
    }
    this->replica.update_peers(this->world->clock(), std::move(peers));
    this->actions.outside([this, seen] {
        this->tell_peers(*seen);
        this->changed.view_changed(seen);
    });
}

void control_shard::tell_peers(const membership::member_view& seen) const
{
    if (!this->world->peers_changed) {
        return;
    }
    std::vector<address> peers;
    for (const auto& each : seen.members) {
        if (each.name != this->self) {
            peers.push_back(each.endpoint);
        }
    }
    this->world->peers_changed(peers);
}

void control_shard::take_configuration(const configuration_pointer& wanted)
{
    {
        const std::lock_guard hold(this->known_lock);
        this->known_tree = wanted;
    }
    this->members.set_revision(wanted->revision);
    this->actions.outside([this, wanted] { this->changed.configuration_changed(wanted); });
}

void control_shard::send(const vm_id& to, const wire::message& body) const
{
    bool sent = false;
    for (const auto& each : this->view()->members) {
        const bool meant = to.empty() ? each.name != this->self : each.name == to;
        if (meant) {
            this->world->send(each.endpoint, each.name, body);
            sent = true;
        }
    }
    if (!sent && !to.empty()) {
        this->send_to_unseen(to, body);
    }
}

// Dead VMs are in no view and are probed all the same.
void control_shard::send_to_unseen(const vm_id& to, const wire::message& body) const
{
    const auto where = this->actions.look([&] { return this->members.address_of(to); });
    if (where) {
        this->world->send(*where, to, body);
    }
}

void control_shard::append(std::uint64_t id, std::string bytes)
{
    const auto weak = this->weak_from_this();
    this->world->log.append(configuration::configuration_stream, std::move(bytes),
                            [weak, id](const platform::append_result& result) {
                                if (const auto shard = weak.lock()) {
                                    shard->decide([&](time_point now) {
                                        shard->replica.append_ended(now, id, result);
                                    });
                                }
                            });
}

void control_shard::read_configuration()
{
    const auto from = this->actions.look([this] { return this->replica.next_offset(); });
    const auto weak = this->weak_from_this();
    this->world->log.read(configuration::configuration_stream, from, read_wait,
                          [weak](const platform::read_result& result) {
                              if (const auto shard = weak.lock()) {
                                  shard->configuration_read(result);
                              }
                          });
}

void control_shard::configuration_read(const platform::read_result& result)
{
    this->decide([&](time_point now) { this->replica.log_read(now, result); });
    if (result.outcome == platform::read_outcome::ok) {
        this->read_configuration();
        return;
    }
    const auto weak = this->weak_from_this();
    this->world->after(read_retry, [weak] {
        if (const auto shard = weak.lock()) {
            shard->read_configuration();
        }
    });
}

void control_shard::decide(const std::function<void(time_point)>& decision)
{
    this->actions.run([&] { decision(this->world->clock()); }, [this] { this->arm(); });
}

void control_shard::arm()
{
    const auto due = std::min(this->members.next_tick(), this->replica.next_tick());
    const auto delay = this->timer.plan(this->world->clock(), due);
    if (!delay) {
        return;
    }
    const auto weak = this->weak_from_this();
    this->actions.outside([this, weak, delay = *delay] {
        this->world->after(delay, [weak] {
            if (const auto shard = weak.lock()) {
                shard->decide([&shard](time_point now) {
                    shard->timer.fired(now);
                    shard->members.tick(now);
                    shard->replica.tick(now);
                });
            }
        });
    });
}

membership::view_pointer control_shard::view() const
{
    const std::lock_guard hold(this->known_lock);
    return this->known_view;
}

configuration_pointer control_shard::tree() const
{
    const std::lock_guard hold(this->known_lock);
    return this->known_tree;
}

configuration::replica_counters control_shard::counters() const
{
    return this->actions.look([this] { return this->replica.counters(); });
}

configuration::readiness control_shard::readiness() const
{
    return this->actions.look([this] { return this->replica.ready(); });
}

} // namespace azureshore::node::detail
