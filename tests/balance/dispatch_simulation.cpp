#include "balance/dispatch_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azureshore::test {

using namespace balance;
using namespace std::chrono_literals;

namespace {

constexpr duration network_delay = 500us;
constexpr duration slow_period = 150ms;
constexpr double slow_factor = 5;
constexpr duration restart_time = 1s;

// Attempt numbers are unique only within a daemon.
using attempt_key = std::pair<std::size_t, attempt_number>;

} // namespace

struct dispatch_simulation::execution {
    attempt_key attempt;
    std::uint64_t key = 0;
    bool ended = false;
};

struct dispatch_simulation::server {
    registration registered;
    server_traits traits;
    server_faults faults;
    std::uint64_t seed = 0;
    bool down = false;
    std::uint64_t life = 0;
    std::vector<std::shared_ptr<execution>> running;
    std::vector<std::shared_ptr<execution>> waiting;

    [[nodiscard]] double slowness(time_point now) const
    {
        const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / slow_period);
        const auto period_random = seeded_random(this->seed * 1000003 + period);
        return uniform(period_random) < this->traits.slow_share ? slow_factor : 1;
    }

    [[nodiscard]] bool is_full() const
    {
        return this->running.size() + this->waiting.size() >=
               this->traits.slots + this->traits.queue;
    }

    [[nodiscard]] double crowding() const
    {
        return 5 * this->running.size() > 4 * this->traits.slots ? this->traits.crowded_factor : 1;
    }

    [[nodiscard]] load_report load(time_point now) const
    {
        return {this->running.size(), this->waiting.size(), this->traits.slots,
                this->slowness(now)};
    }
};

dispatch_simulation::dispatch_simulation(std::size_t count, std::uint64_t seed)
    : random(seeded_random(seed))
{
    for (std::size_t i = 0; i < count; ++i) {
        this->daemons.push_back(std::make_unique<balance::dispatcher>(
            data_centre_id{"khan-el-khalili"}, shared_bounds{}, this->hooks_of(i)));
        this->daemons.back()->set_fleet(
            count, [count](const backend_id&) { return 1.0 / static_cast<double>(count); });
    }
}

dispatch_simulation::~dispatch_simulation() = default;

void dispatch_simulation::configure(const traffic_configuration& next)
{
    for (auto& each : this->daemons) {
        each->configure(std::make_shared<const traffic_configuration>(next));
        each->backends_listed();
    }
}

void dispatch_simulation::add_server(const std::string& name, const std::string& service,
                                     const server_traits& traits)
{
    auto created = std::make_unique<server>();
    created->traits = traits;
    created->seed = this->random();
    created->registered.id = {name};
    created->registered.service = {service};
    created->registered.data_centre = traits.data_centre;
    created->registered.endpoint = {"10.9.0.1",
                                    static_cast<std::uint16_t>(this->servers.size() + 8000)};
    created->registered.slots = traits.slots;
    for (auto& each : this->daemons) {
        each->backend_changed(created->registered);
    }
    this->servers[name] = std::move(created);
}

server_faults& dispatch_simulation::faults(const std::string& name)
{
    return this->servers.at(name)->faults;
}

registration dispatch_simulation::registration_of(const std::string& name) const
{
    return this->servers.at(name)->registered;
}

std::uint64_t dispatch_simulation::request(std::size_t daemon, const std::string& path,
                                           std::optional<duration> caller_timeout,
                                           std::uint64_t fingerprint)
{
    const auto key = ++this->last_request;
    incoming_request request;
    request.number = {key};
    request.id = "request-" + std::to_string(key);
    request.host = "plates.example";
    request.path = path;
    request.fingerprint = fingerprint == 0 ? key : fingerprint;
    request.arrived = this->clock.now();
    request.caller_timeout = caller_timeout;
    this->started_at[key] = this->clock.now();
    for (const auto& [prefix, work] : this->works) {
        if (path.starts_with(prefix)) {
            this->work_of[key] = work;
        }
    }
    this->daemons[daemon]->begin(request);
    return key;
}

void dispatch_simulation::disconnect_caller(std::size_t daemon, std::uint64_t key)
{
    this->daemons[daemon]->caller_gone({key});
}

void dispatch_simulation::generate_load(const std::string& path, double per_second, duration span,
                                        duration caller_timeout)
{
    const auto end = this->clock.now() + span;
    auto next = this->clock.now();
    while (next < end) {
        const std::chrono::duration<double> gap(-std::log(1 - uniform(this->random)) / per_second);
        next += std::chrono::duration_cast<duration>(gap);
        const auto daemon = uniform_index(this->random, this->daemons.size());
        this->clock.at(next, [this, daemon, path, caller_timeout] {
            this->request(daemon, path, caller_timeout);
        });
    }
}

time_point dispatch_simulation::read_clock()
{
    this->last_reading =
        std::max(this->clock.now(), this->last_reading + this->time_between_readings);
    return this->last_reading;
}

dispatcher_hooks dispatch_simulation::hooks_of(std::size_t daemon)
{
    dispatcher_hooks hooks;
    hooks.clock = [this] {
        return this->read_clock();
    };
    hooks.after = [this](duration delay, std::function<void()> work) {
        this->clock.after(delay, std::move(work));
    };
    hooks.probe = [this, daemon](const probe_order& order) {
        this->probe(daemon, order);
    };
    hooks.release = [](probe_number) {
    };
    hooks.send = [this, daemon](const attempt_order& order) {
        this->send(daemon, order);
    };
    hooks.cancel = [this, daemon](attempt_number attempt) {
        ++this->cancelled;
        for (auto& [name, each] : this->servers) {
            for (auto* list : {&each->running, &each->waiting}) {
                std::erase_if(*list, [&](const auto& candidate) {
                    const bool matches = candidate->attempt == attempt_key{daemon, attempt};
                    candidate->ended = candidate->ended || matches;
                    return matches;
                });
            }
            this->start_next(*each);
        }
    };
    hooks.deliver = [this](request_number request, attempt_number) {
        this->outcomes[request.value].request = request;
        ++this->outcomes[request.value].answers;
        this->outcomes[request.value].delivered = true;
        this->outcomes[request.value].took = this->clock.now() - this->started_at[request.value];
        if (this->answered) {
            this->answered(this->outcomes[request.value]);
        }
    };
    hooks.refuse = [this](request_number request, const refusal& answer) {
        auto& result = this->outcomes[request.value];
        result.request = request;
        ++result.answers;
        result.refused = answer;
        result.status = answer.status;
        result.took = this->clock.now() - this->started_at[request.value];
        if (this->answered) {
            this->answered(result);
        }
    };
    hooks.random = seeded_random(this->random());
    return hooks;
}

void dispatch_simulation::probe(std::size_t daemon, const probe_order& order)
{
    auto& target = *this->servers.at(order.backend.value);
    if (target.faults.unreachable || target.down) {
        this->clock.after(250ms, [this, daemon, order] {
            this->daemons[daemon]->probe_ended(order.probe, std::nullopt);
        });
        return;
    }
    this->clock.after(network_delay, [this, daemon, order, &target] {
        probe_result reading;
        reading.healthy = !target.faults.reports_unhealthy;
        reading.load = target.load(this->clock.now());
        reading.cold_remaining = target.faults.cold;
        this->clock.after(network_delay, [this, daemon, order, reading] {
            this->daemons[daemon]->probe_ended(order.probe, reading);
        });
    });
}

void dispatch_simulation::send(std::size_t daemon, const attempt_order& order)
{
    this->clock.after(network_delay, [this, daemon, order] { this->arrive(daemon, order); });
}

void dispatch_simulation::arrive(std::size_t daemon, const attempt_order& order)
{
    auto& target = *this->servers.at(order.backend.value);
    this->arrivals.push_back(
        {order.request.value, order.backend, daemon, this->clock.now(), false});
    attempt_result result;
    if (target.down || target.faults.unreachable) {
        result.end = attempt_end::not_run;
        this->end_attempt(daemon, order.attempt, result);
        return;
    }
    if (target.faults.declines) {
        result.end = attempt_end::not_run;
        result.status = 503;
        this->end_attempt(daemon, order.attempt, result);
        return;
    }
    if (target.traits.declines_when_full && target.is_full()) {
        result.end = attempt_end::not_run;
        result.status = 503;
        result.load = target.load(this->clock.now());
        this->end_attempt(daemon, order.attempt, result);
        return;
    }
    this->arrivals.back().ran = true;
    const auto created = std::make_shared<execution>();
    created->attempt = {daemon, order.attempt};
    created->key = order.request.value;
    if (target.faults.crashes) {
        target.running.push_back(created);
        this->crash(target);
        return;
    }
    if (target.faults.unresponsive || target.is_full()) {
        return;
    }
    target.waiting.push_back(created);
    this->start_next(target);
}

void dispatch_simulation::start_next(server& target)
{
    while (target.running.size() < target.traits.slots && !target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        target.running.push_back(next);
        ++this->runs;
        const double variation = 0.7 + 0.6 * uniform(this->random);
        const auto own_work = this->work_of.find(next->key);
        const auto usual = own_work == this->work_of.end() ? target.traits.work : own_work->second;
        const auto work = std::chrono::duration_cast<duration>(
            usual * variation * target.slowness(this->clock.now()) * target.crowding());
        this->clock.after(target.faults.errors ? 1ms : work,
                          [this, &target, next] { this->finish(target, next); });
    }
}

void dispatch_simulation::finish(server& target, const std::shared_ptr<execution>& finished)
{
    if (finished->ended) {
        return;
    }
    std::erase(target.running, finished);
    attempt_result result;
    result.end = target.faults.loses_answers ? attempt_end::unknown : attempt_end::answered;
    result.status = target.faults.errors ? 500 : 200;
    result.load = target.load(this->clock.now());
    this->outcomes[finished->key].status = result.status;
    this->end_attempt(finished->attempt.first, finished->attempt.second, result);
    this->start_next(target);
}

void dispatch_simulation::crash(server& target)
{
    target.down = true;
    auto lost = std::exchange(target.running, {});
    lost.insert(lost.end(), target.waiting.begin(), target.waiting.end());
    target.waiting.clear();
    for (const auto& each : lost) {
        each->ended = true;
        attempt_result result;
        result.end = attempt_end::unknown;
        result.connection_lost = true;
        this->end_attempt(each->attempt.first, each->attempt.second, result);
    }
    this->clock.after(restart_time, [&target] { target.down = false; });
}

void dispatch_simulation::end_attempt(std::size_t daemon, attempt_number attempt,
                                      const attempt_result& result)
{
    this->clock.after(network_delay, [this, daemon, attempt, result] {
        this->daemons[daemon]->attempt_ended(attempt, result);
    });
}

traffic_configuration one_service(const std::string& name, bool idempotent, duration target,
                                  duration timeout)
{
    traffic_configuration configuration;
    configuration.version = 1;
    route only_route;
    only_route.name = name;
    only_route.host = "plates.example";
    only_route.path_prefix = '/' + name + '/';
    only_route.idempotent = idempotent;
    only_route.services = {{{name}, 1}};
    only_route.timeout = timeout;
    only_route.target_latency = target;
    only_route.priority = 1;
    only_route.max_attempts = 2;
    configuration.routes.push_back(only_route);
    service_traits traits;
    traits.name = {name};
    traits.health_path = "/health";
    traits.cold_rate = 3;
    traits.cold_period = 3s;
    configuration.services.push_back(traits);
    return configuration;
}

} // namespace azureshore::test
