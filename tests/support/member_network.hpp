#pragma once

#include "azureshore/membership/member_table.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test_support {

// Faults that the simulated network injects. Probabilities are in [0, 1].
struct network_faults {
    double loss = 0;
    double duplication = 0;
    duration min_delay = std::chrono::microseconds(300);
    duration max_delay = std::chrono::milliseconds(2);
};

// Simulates member tables in virtual time, connected by a network with fault injection.
class member_network {
public:
    explicit member_network(std::uint64_t seed) : random(seeded_random(seed)) {}

    static platform::vm_entry vm_entry_at(std::size_t index)
    {
        const auto name = "vm-" + std::to_string(index);
        const data_centre_id centre{index % 2 == 0 ? "maadi" : "shubra"};
        return {{name}, centre, {}, {name, 7000}, platform::vm_state::live};
    }

    // Starts or restarts a VM, which reads the current list of VMs.
    void start(const platform::vm_entry& entry, const membership::member_options& options = {})
    {
        auto& node = this->nodes[entry.name];
        ++node.run;
        node.paused = false;
        node.deferred.clear();
        const auto run = node.run;
        membership::member_hooks hooks;
        hooks.send = [this, from = entry.name](const vm_id& to, const wire::message& body) {
            this->transmit(from, to, body);
        };
        hooks.view_changed = [this, name = entry.name](const membership::view_pointer& view) {
            if (this->on_view_change) {
                this->on_view_change(name, view);
            }
        };
        node.table = std::make_unique<membership::member_table>(
            membership::member{entry.name, entry.data_centre, entry.where}, this->random, hooks,
            options);
        node.table->update_list(this->now, this->vm_list);
        this->schedule_tick(entry.name, run);
    }

    void kill(const vm_id& name)
    {
        this->nodes[name].table.reset();
        ++this->nodes[name].run;
    }

    void pause(const vm_id& name) { this->nodes[name].paused = true; }

    // Resumes a VM, which first runs the deliveries and ticks that were deferred during the pause.
    void resume(const vm_id& name)
    {
        auto& node = this->nodes[name];
        if (!node.paused) {
            return;
        }
        node.paused = false;
        for (const auto& action : std::exchange(node.deferred, {})) {
            action();
        }
    }

    void cut_link(const vm_id& from, const vm_id& to) { this->cut_links.emplace(from, to); }
    void heal_links() { this->cut_links.clear(); }

    // Replaces the list of VMs; each VM that is running and not paused reads it.
    void publish_vm_list(std::vector<platform::vm_entry> entries)
    {
        this->vm_list = std::move(entries);
        for (auto& [name, node] : this->nodes) {
            if (node.table && !node.paused) {
                node.table->update_list(this->now, this->vm_list);
            }
        }
    }

    void run_for(duration span)
    {
        const auto end = this->now + span;
        while (!this->events.empty() && this->events.top().due <= end) {
            auto next = this->events.top();
            this->events.pop();
            this->now = std::max(this->now, next.due);
            next.action();
        }
        this->now = end;
    }

    membership::member_table* table(const vm_id& name)
    {
        const auto found = this->nodes.find(name);
        return found == this->nodes.end() ? nullptr : found->second.table.get();
    }

    std::vector<vm_id> running() const
    {
        std::vector<vm_id> names;
        for (const auto& [name, node] : this->nodes) {
            if (node.table) {
                names.push_back(name);
            }
        }
        return names;
    }

    // Returns the names of the members in the view of a VM.
    std::vector<vm_id> members_seen_by(const vm_id& name)
    {
        std::vector<vm_id> names;
        for (const auto& each : this->nodes[name].table->view()->members) {
            names.push_back(each.name);
        }
        return names;
    }

    random_source random;
    network_faults faults;
    std::vector<platform::vm_entry> vm_list;
    time_point now{};
    std::uint64_t messages = 0;
    std::function<void(const vm_id&, const membership::view_pointer&)> on_view_change;
    std::function<void(const wire::envelope&)> on_send;

private:
    struct event {
        time_point due;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(other.due, other.order) < std::tie(this->due, this->order);
        }
    };

    struct node_state {
        std::unique_ptr<membership::member_table> table;
        std::uint64_t run = 0;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
    };

    void schedule(time_point due, std::function<void()> action)
    {
        this->events.push({due, this->next_order++, std::move(action)});
    }

    void schedule_tick(const vm_id& name, std::uint64_t run)
    {
        const auto due = std::max(this->nodes[name].table->next_tick(), this->now);
        this->schedule(due, [this, name, run] { this->tick(name, run); });
    }

    // A tick that is no longer due only schedules the next one.
    void tick(const vm_id& name, std::uint64_t run)
    {
        auto& node = this->nodes[name];
        if (node.run != run) {
            return;
        }
        if (node.paused) {
            node.deferred.emplace_back([this, name, run] { this->tick(name, run); });
            return;
        }
        if (node.table->next_tick() <= this->now) {
            node.table->tick(this->now);
        }
        this->schedule_tick(name, run);
    }

    void transmit(const vm_id& from, const vm_id& to, const wire::message& body)
    {
        ++this->messages;
        if (this->on_send) {
            this->on_send({from, body});
        }
        const bool duplicated = uniform(this->random) < this->faults.duplication;
        for (int copy = 0; copy < (duplicated ? 2 : 1); ++copy) {
            if (uniform(this->random) < this->faults.loss ||
                this->cut_links.count({from, to}) > 0) {
                continue;
            }
            const auto delay_range = this->faults.max_delay - this->faults.min_delay;
            const auto delay = this->faults.min_delay + std::chrono::duration_cast<duration>(
                                                            delay_range * uniform(this->random));
            this->schedule(this->now + delay,
                           [this, from, to, body] { this->deliver(from, to, body); });
        }
    }

    void deliver(const vm_id& from, const vm_id& to, const wire::message& body)
    {
        const auto found = this->nodes.find(to);
        if (found == this->nodes.end() || !found->second.table) {
            return;
        }
        auto& node = found->second;
        if (node.paused) {
            const auto run = node.run;
            node.deferred.emplace_back([this, from, to, body, run] {
                if (this->nodes[to].run == run) {
                    this->deliver(from, to, body);
                }
            });
            return;
        }
        node.table->receive(this->now, from, body);
    }

    std::map<vm_id, node_state> nodes;
    std::set<std::pair<vm_id, vm_id>> cut_links;
    std::priority_queue<event> events;
    std::uint64_t next_order = 0;
};

} // namespace azureshore::test_support
