#include "support/routing_cluster.hpp"

namespace azureshore::fakes {

namespace {

const service_id service{"catalogue"};

} // namespace

cluster::cluster(cluster_setup cluster_settings)
    : setup(std::move(cluster_settings)), random(seeded_random(this->setup.seed))
{
    this->link = [this](int, int, const wire::message&) {
        return std::vector<duration>{this->setup.network_delay};
    };
    this->log = [](int, const observe::decision&) {
    };
    for (std::size_t i = 0; i < this->setup.backends; ++i) {
        const auto name = backend_name(i);
        this->backend_index[name] = i;
        this->backends.push_back(
            std::make_unique<fake_backend>(this->clock, name.value, this->setup.traits));
    }
    for (int i = 0; i < static_cast<int>(this->setup.vms); ++i) {
        this->vms.push_back(std::make_unique<vm_state>());
        const auto& data_centre = this->setup.data_centres[i % this->setup.data_centres.size()];
        this->vms.back()->strategy = this->setup.make_strategy(
            vm_name(i), {data_centre}, service, seeded_random(this->random()), this->hooks_of(i));
    }
}

routing::router_hooks cluster::hooks_of(int vm)
{
    routing::router_hooks hooks;
    hooks.granted = [this, vm](routing::ticket_number ticket, const routing::permit& permit) {
        this->on_vm(vm,
                    [this, vm, ticket, permit] { this->start_attempt(vm, ticket.value, permit); });
    };
    hooks.refused = [this, vm](routing::ticket_number ticket, wire::refusal_reason, duration) {
        this->on_vm(vm, [this, vm, ticket] {
            const auto attempts = this->vms[vm]->requests.at(ticket.value).attempts;
            this->counts.refused += attempts == 0 ? 1 : 0;
            this->counts.failed += attempts == 0 ? 0 : 1;
            this->vms[vm]->requests.erase(ticket.value);
        });
    };
    hooks.send = [this, vm](const vm_id& to, const wire::message& body) {
        this->send(vm, to, body);
    };
    hooks.probe = [this, vm](const membership::backend_server& server) {
        this->probe(vm, server.name);
    };
    hooks.log = [this, vm](const observe::decision& decision) {
        this->log(vm, decision);
    };
    return hooks;
}

membership::member_view cluster::members() const
{
    membership::member_view view;
    for (int i = 0; i < static_cast<int>(this->setup.vms); ++i) {
        const auto& data_centre = this->setup.data_centres[i % this->setup.data_centres.size()];
        if (!this->dead.contains(i)) {
            view.members.push_back({vm_name(i), {data_centre}, {}, membership::member_state::live});
        }
    }
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
        const auto& data_centre = this->setup.data_centres[i % this->setup.data_centres.size()];
        view.backends.push_back({backend_name(i),
                                 service,
                                 {data_centre},
                                 {"10.0.0." + std::to_string(i), 80},
                                 this->leaving_backends.contains(i)});
    }
    return view;
}

void cluster::publish()
{
    auto configuration = std::make_shared<configuration::effective_configuration>();
    configuration->revision = ++this->revision;
    auto described_service = std::make_shared<configuration::service_config>();
    described_service->name = service;
    for (const auto& name : this->setup.data_centres) {
        described_service->cells[{name}] = this->setup.limits;
        const region_id region{this->setup.region_per_data_centre ? name : "here"};
        configuration->data_centres[{name}] = {
            {name}, region, !this->out_of_service.contains(name)};
    }
    configuration->services[service] = described_service;
    const auto view = std::make_shared<membership::member_view>(this->members());
    for (int i = 0; i < static_cast<int>(this->vms.size()); ++i) {
        this->on_vm(i, [this, i, configuration] {
            this->vms[i]->strategy.configure(this->clock.now(), configuration);
            this->schedule_tick(i);
        });
        this->send_members(i, view);
    }
}

void cluster::send_members(int vm, const membership::view_pointer& view)
{
    this->on_vm(vm, [this, vm, view] {
        this->vms[vm]->strategy.update_members(this->clock.now(), view);
        this->schedule_tick(vm);
    });
}

void cluster::set_out_of_service(const std::string& data_centre, bool out)
{
    if (out) {
        this->out_of_service.insert(data_centre);
    }
    else {
        this->out_of_service.erase(data_centre);
    }
    this->publish();
}

int cluster::first_leader() const
{
    const auto leaders = membership::leader_candidates({service, {"here"}}, this->members(), 1);
    return std::stoi(leaders.front().value.substr(3));
}

std::vector<routing::backend_status> cluster::status_of(int vm)
{
    return this->vms[vm]->strategy.status(this->clock.now());
}

std::size_t cluster::unfinished() const
{
    std::size_t sum = 0;
    for (const auto& each : this->vms) {
        sum += each->requests.size();
    }
    return sum;
}

void cluster::on_vm(int vm, std::function<void()> action)
{
    this->clock.at(this->vms.size() > static_cast<std::size_t>(vm) ? this->vms[vm]->paused_until
                                                                   : this->clock.now(),
                   [this, vm, action = std::move(action)]() mutable {
                       if (this->dead.contains(vm)) {
                           return;
                       }
                       if (this->clock.now() < this->vms[vm]->paused_until) {
                           this->on_vm(vm, std::move(action));
                           return;
                       }
                       action();
                   });
}

void cluster::schedule_tick(int vm)
{
    auto& state = *this->vms[vm];
    const auto due = std::max(state.strategy.next_tick(), this->clock.now());
    if (due >= state.tick_at) {
        return;
    }
    state.tick_at = due;
    const auto number = ++state.tick_number;
    this->clock.at(due, [this, vm, number] {
        this->on_vm(vm, [this, vm, number] {
            auto& ticking = *this->vms[vm];
            if (number != ticking.tick_number) {
                return;
            }
            ticking.tick_at = time_point::max();
            ticking.strategy.tick(this->clock.now());
            this->schedule_tick(vm);
        });
    });
}

void cluster::send(int from, const vm_id& to, const wire::message& body)
{
    ++this->counts.messages;
    const int target = std::stoi(to.value.substr(3));
    for (const auto delay : this->link(from, target, body)) {
        this->clock.after(delay, [this, from, target, body] {
            this->on_vm(target, [this, from, target, body] {
                this->vms[target]->strategy.receive(this->clock.now(), vm_name(from), body);
                this->schedule_tick(target);
            });
        });
    }
}

void cluster::begin(int vm, const std::string& caller, duration service_time, duration time_left)
{
    ++this->counts.begun;
    const auto ticket = this->next_ticket++;
    this->vms[vm]->requests[ticket] = {
        caller, service_time, this->clock.now(), this->clock.now() + time_left, {}, 0};
    this->on_vm(vm, [this, vm, ticket] { this->request_permit(vm, ticket); });
}

void cluster::request_permit(int vm, std::uint64_t ticket)
{
    const auto& pending = this->vms[vm]->requests.at(ticket);
    this->vms[vm]->strategy.request(this->clock.now(),
                                    {{ticket}, pending.deadline, pending.caller, pending.avoid});
    this->schedule_tick(vm);
}

void cluster::start_attempt(int vm, std::uint64_t ticket, const routing::permit& permit)
{
    auto& pending = this->vms[vm]->requests.at(ticket);
    const auto index = this->backend_index.at(permit.backend);
    const auto started = this->clock.now();
    if (started >= permit.lease_until) {
        this->end_attempt(vm, ticket, permit, {});
        return;
    }
    ++pending.attempts;
    ++this->counts.attempts;
    auto& backend = *this->backends[index];
    const bool connected =
        !this->vms[vm]->connections.emplace(index, backend.instance().value).second;
    const auto arrival_delay =
        this->setup.network_delay + (connected ? duration{} : this->setup.connection_cost);
    job run;
    run.vm = vm;
    run.service_time = pending.service_time;
    run.deadline = pending.deadline;
    run.leader_knew_cold =
        !permit.warm && permit.concurrency_limit <= backend.traits.cold_concurrency_limit;
    run.done = [this, vm, ticket, permit, started, index](wire::usage result) {
        const auto& server = *this->backends[index];
        routing::permit_use use{result, {}, server.instance(), server.report()};
        this->clock.after(this->setup.network_delay,
                          [this, vm, ticket, permit, started, use]() mutable {
                              this->on_vm(vm, [this, vm, ticket, permit, started, use]() mutable {
                                  use.latency = this->clock.now() - started;
                                  this->end_attempt(vm, ticket, permit, use);
                              });
                          });
    };
    this->clock.after(arrival_delay, [this, vm, index, run = std::move(run)] {
        if (!this->dead.contains(vm)) {
            this->backends[index]->arrive(run);
        }
    });
}

void cluster::end_attempt(int vm, std::uint64_t ticket, const routing::permit& permit,
                          const routing::permit_use& use)
{
    const auto now = this->clock.now();
    this->vms[vm]->strategy.release(now, permit, use);
    this->schedule_tick(vm);
    auto& requests = this->vms[vm]->requests;
    auto& pending = requests.at(ticket);
    if (use.result == wire::usage::succeeded) {
        const auto latency_ms = to_milliseconds(now - pending.started);
        ++this->counts.answered;
        ++this->counts.answered_by_caller[pending.caller];
        this->counts.latencies_ms.push_back(latency_ms);
        this->counts.latencies_by_caller_ms[pending.caller].push_back(latency_ms);
        this->counts.answers.emplace_back(now, latency_ms);
        requests.erase(ticket);
        return;
    }
    if (pending.attempts >= this->setup.max_attempts || now >= pending.deadline) {
        ++this->counts.failed;
        requests.erase(ticket);
        return;
    }
    if (use.result != wire::usage::unused) {
        pending.avoid.push_back(permit.backend);
    }
    this->request_permit(vm, ticket);
}

void cluster::probe(int vm, const backend_id& name)
{
    this->counts.probes.push_back(this->clock.now());
    const auto index = this->backend_index.at(name);
    job run;
    run.vm = vm;
    run.probe = true;
    run.service_time = this->setup.probe_cost;
    run.deadline = this->clock.now() + seconds(1);
    run.done = [this, vm, name, index](wire::usage result) {
        const auto& server = *this->backends[index];
        std::optional<routing::probe_result> probe_result;
        if (result == wire::usage::succeeded) {
            probe_result = {true, server.instance(), server.report()};
        }
        this->clock.after(this->setup.network_delay, [this, vm, name, probe_result] {
            this->on_vm(vm, [this, vm, name, probe_result] {
                this->vms[vm]->strategy.handle_probe_result(this->clock.now(), name, probe_result);
                this->schedule_tick(vm);
            });
        });
    };
    this->clock.after(this->setup.network_delay,
                      [this, index, run = std::move(run)] { this->backends[index]->arrive(run); });
}

void cluster::kill_vm(int vm)
{
    this->dead.insert(vm);
    this->vms[vm]->requests.clear();
    this->clock.after(this->setup.network_delay, [this, vm] {
        for (auto& backend : this->backends) {
            backend->cancel_all_from(vm);
        }
    });
}

void cluster::pause_vm(int vm, duration length)
{
    this->vms[vm]->paused_until = this->clock.now() + length;
}

} // namespace azureshore::fakes
