#include "balance/dispatch_world.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace azureshore::test {

using namespace balance;
using namespace std::chrono_literals;

namespace {

constexpr duration one_way = 500us;
constexpr duration slow_spell = 150ms;
constexpr double slow_factor = 5;
constexpr duration restart_time = 1s;

// Numbers of different daemons' attempts are told apart by the daemon.
using attempt_key = std::pair<std::size_t, attempt_number>;

} // namespace

struct dispatch_world::run {
    attempt_key attempt;
    std::uint64_t key = 0;
    bool gone = false;
};

struct dispatch_world::server {
    registration registered;
    server_traits traits;
    server_trouble trouble;
    std::uint64_t seed = 0;
    bool down = false;
    std::uint64_t life = 0;
    std::vector<std::shared_ptr<run>> running;
    std::vector<std::shared_ptr<run>> waiting;

    [[nodiscard]] double slowness(time_point now) const
    {
        const auto spell = static_cast<std::uint64_t>(now.time_since_epoch() / slow_spell);
        const auto numbers = seeded_random(this->seed * 1000003 + spell);
        return uniform(numbers) < this->traits.slow_share ? slow_factor : 1;
    }

    [[nodiscard]] load_report load(time_point now) const
    {
        return {this->running.size(), this->waiting.size(), this->traits.slots,
                this->slowness(now)};
    }
};

dispatch_world::dispatch_world(std::size_t count, std::uint64_t seed) : random(seeded_random(seed))
{
    for (std::size_t i = 0; i < count; ++i) {
        this->daemons.push_back(std::make_unique<balance::dispatcher>(
            data_centre_id{"khan-el-khalili"}, shared_bounds{}, this->hooks_of(i)));
        this->daemons.back()->set_fleet(
            count, [count](const backend_id&) { return 1.0 / static_cast<double>(count); });
    }
}

dispatch_world::~dispatch_world() = default;

void dispatch_world::configure(const traffic_configuration& next)
{
    for (auto& each : this->daemons) {
        each->configure(std::make_shared<const traffic_configuration>(next));
        each->backends_listed();
    }
}

void dispatch_world::add_server(const std::string& name, const std::string& service,
                                const server_traits& traits)
{
    auto made = std::make_unique<server>();
    made->traits = traits;
    made->seed = this->random();
    made->registered.id = {name};
    made->registered.service = {service};
    made->registered.data_centre = traits.data_centre;
    made->registered.endpoint = {"10.9.0.1",
                                 static_cast<std::uint16_t>(this->servers.size() + 8000)};
    made->registered.slots = traits.slots;
    for (auto& each : this->daemons) {
        each->backend_changed(made->registered);
    }
    this->servers[name] = std::move(made);
}

server_trouble& dispatch_world::trouble(const std::string& name)
{
    return this->servers.at(name)->trouble;
}

registration dispatch_world::registration_of(const std::string& name) const
{
    return this->servers.at(name)->registered;
}

std::uint64_t dispatch_world::request(std::size_t daemon, const std::string& path,
                                      std::optional<duration> patience, std::uint64_t fingerprint)
{
    const auto key = ++this->last_request;
    incoming_request request;
    request.number = {key};
    request.id = "request-" + std::to_string(key);
    request.host = "plates.example";
    request.path = path;
    request.fingerprint = fingerprint == 0 ? key : fingerprint;
    request.arrived = this->clock.now();
    request.caller_timeout = patience;
    this->began[key] = this->clock.now();
    this->daemons[daemon]->begin(request);
    return key;
}

void dispatch_world::caller_leaves(std::size_t daemon, std::uint64_t key)
{
    this->daemons[daemon]->caller_gone({key});
}

void dispatch_world::load(const std::string& path, double a_second, duration span,
                          duration patience)
{
    const auto end = this->clock.now() + span;
    auto next = this->clock.now();
    while (next < end) {
        const std::chrono::duration<double> gap(-std::log(1 - uniform(this->random)) / a_second);
        next += std::chrono::duration_cast<duration>(gap);
        const auto daemon = uniform_index(this->random, this->daemons.size());
        this->clock.at(next,
                       [this, daemon, path, patience] { this->request(daemon, path, patience); });
    }
}

dispatcher_hooks dispatch_world::hooks_of(std::size_t daemon)
{
    dispatcher_hooks hooks;
    hooks.clock = [this] {
        return this->clock.now();
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
                std::erase_if(*list, [&](const auto& one) {
                    const bool found = one->attempt == attempt_key{daemon, attempt};
                    one->gone = one->gone || found;
                    return found;
                });
            }
            this->begin_next(*each);
        }
    };
    hooks.deliver = [this](request_number request, attempt_number) {
        ++this->outcomes[request.value].answers;
        this->outcomes[request.value].delivered = true;
        this->outcomes[request.value].took = this->clock.now() - this->began[request.value];
    };
    hooks.refuse = [this](request_number request, const refusal& why) {
        auto& ended = this->outcomes[request.value];
        ++ended.answers;
        ended.refused = why;
        ended.status = why.status;
        ended.took = this->clock.now() - this->began[request.value];
    };
    hooks.random = seeded_random(this->random());
    return hooks;
}

void dispatch_world::probe(std::size_t daemon, const probe_order& order)
{
    auto& at = *this->servers.at(order.backend.value);
    if (at.trouble.unreachable || at.down) {
        this->clock.after(250ms, [this, daemon, order] {
            this->daemons[daemon]->probe_ended(order.probe, std::nullopt);
        });
        return;
    }
    this->clock.after(one_way, [this, daemon, order, &at] {
        probe_result reading;
        reading.healthy = !at.trouble.says_ill;
        reading.load = at.load(this->clock.now());
        reading.cold_remaining = at.trouble.cold;
        this->clock.after(one_way, [this, daemon, order, reading] {
            this->daemons[daemon]->probe_ended(order.probe, reading);
        });
    });
}

void dispatch_world::send(std::size_t daemon, const attempt_order& order)
{
    this->clock.after(one_way, [this, daemon, order] { this->arrive(daemon, order); });
}

void dispatch_world::arrive(std::size_t daemon, const attempt_order& order)
{
    auto& at = *this->servers.at(order.backend.value);
    this->arrivals.push_back(
        {order.request.value, order.backend, daemon, this->clock.now(), false});
    attempt_result result;
    if (at.down || at.trouble.unreachable) {
        result.end = attempt_end::not_run;
        this->end(daemon, order.attempt, result);
        return;
    }
    if (at.trouble.declines) {
        result.end = attempt_end::not_run;
        result.status = 503;
        this->end(daemon, order.attempt, result);
        return;
    }
    this->arrivals.back().ran = true;
    const auto made = std::make_shared<run>();
    made->attempt = {daemon, order.attempt};
    made->key = order.request.value;
    if (at.trouble.crashes) {
        at.running.push_back(made);
        this->crash(at);
        return;
    }
    if (at.trouble.mute ||
        at.running.size() + at.waiting.size() >= at.traits.slots + at.traits.queue) {
        return;
    }
    at.waiting.push_back(made);
    this->begin_next(at);
}

void dispatch_world::begin_next(server& at)
{
    while (at.running.size() < at.traits.slots && !at.waiting.empty()) {
        const auto next = at.waiting.front();
        at.waiting.erase(at.waiting.begin());
        at.running.push_back(next);
        const double part = 0.7 + 0.6 * uniform(this->random);
        const auto work = std::chrono::duration_cast<duration>(at.traits.work * part *
                                                               at.slowness(this->clock.now()));
        this->clock.after(at.trouble.errors ? 1ms : work,
                          [this, &at, next] { this->finish(at, next); });
    }
}

void dispatch_world::finish(server& at, const std::shared_ptr<run>& done)
{
    if (done->gone) {
        return;
    }
    std::erase(at.running, done);
    attempt_result result;
    result.end = at.trouble.loses_answers ? attempt_end::unknown : attempt_end::answered;
    result.status = at.trouble.errors ? 500 : 200;
    result.load = at.load(this->clock.now());
    this->outcomes[done->key].status = result.status;
    this->end(done->attempt.first, done->attempt.second, result);
    this->begin_next(at);
}

void dispatch_world::crash(server& at)
{
    at.down = true;
    auto lost = std::exchange(at.running, {});
    lost.insert(lost.end(), at.waiting.begin(), at.waiting.end());
    at.waiting.clear();
    for (const auto& each : lost) {
        each->gone = true;
        attempt_result result;
        result.end = attempt_end::unknown;
        result.connection_lost = true;
        this->end(each->attempt.first, each->attempt.second, result);
    }
    this->clock.after(restart_time, [&at] { at.down = false; });
}

void dispatch_world::end(std::size_t daemon, attempt_number attempt, const attempt_result& result)
{
    this->clock.after(one_way, [this, daemon, attempt, result] {
        this->daemons[daemon]->attempt_ended(attempt, result);
    });
}

traffic_configuration one_service(const std::string& name, bool idempotent, duration target,
                                  duration timeout)
{
    traffic_configuration made;
    made.version = 1;
    route only;
    only.name = name;
    only.host = "plates.example";
    only.path_prefix = '/' + name + '/';
    only.idempotent = idempotent;
    only.services = {{{name}, 1}};
    only.timeout = timeout;
    only.target_latency = target;
    only.priority = 1;
    only.max_attempts = 2;
    made.routes.push_back(only);
    service_traits traits;
    traits.name = {name};
    traits.health_path = "/health";
    traits.cold_rate = 3;
    traits.cold_period = 3s;
    made.services.push_back(traits);
    return made;
}

} // namespace azureshore::test
