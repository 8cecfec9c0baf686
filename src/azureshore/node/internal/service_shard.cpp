#include "azureshore/node/internal/service_shard.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::node::detail {

namespace {

constexpr std::chrono::milliseconds read_retry{250};

// The first read of a stream does not wait, so that a quiet one is known to be read at once.
constexpr std::chrono::milliseconds no_wait{0};
constexpr int first_server_error = 500;

// What an attempt's end says about the backend server.
wire::usage usage_of(const outcomes::attempt_report& report)
{
    switch (report.end) {
    case outcomes::attempt_end::answered:
        return report.answer && report.answer->status >= first_server_error
                   ? wire::usage::failed
                   : wire::usage::succeeded;
    case outcomes::attempt_end::not_run:
        return report.proof == outcomes::attempt_proof::backend_refused ? wire::usage::refused
                                                                        : wire::usage::failed;
    case outcomes::attempt_end::unknown:
        return report.proof == outcomes::attempt_proof::cancelled ? wire::usage::cancelled
                                                                  : wire::usage::failed;
    }
    return wire::usage::failed;
}

outcomes::run_once_limits run_once_limits_of(const configuration::service_limits& limits)
{
    outcomes::run_once_limits made;
    made.appends_per_second = limits.appends_per_second;
    made.retention = limits.log_retention;
    return made;
}

std::vector<vm_id> live_vms(const membership::member_view& view)
{
    std::vector<vm_id> names;
    for (const auto& each : view.members) {
        if (each.state == membership::member_state::live) {
            names.push_back(each.name);
        }
    }
    return names;
}

routing::ticket_number ticket_of(attempt_number attempt)
{
    return {attempt.value};
}

attempt_number attempt_of(routing::ticket_number ticket)
{
    return {ticket.value};
}

} // namespace

service_shard::service_shard(service_id service, const membership::member& self, std::uint64_t seed,
                             shard_world around)
    : name(std::move(service)), here(self.data_centre), world(std::move(around)),
      router(self.name, self.data_centre, this->name, seeded_random(seed),
             this->make_router_hooks()),
      engine(self.name, this->name, seeded_random(seed + 1), this->make_engine_hooks())
{
}

outcomes::engine_hooks service_shard::make_engine_hooks()
{
    outcomes::engine_hooks hooks;
    hooks.acquire = [this](const outcomes::attempt_permit_request& wish) {
        this->actions.inside([this, wish] { this->acquire(wish); });
    };
    hooks.release = [this](attempt_number attempt) {
        this->actions.inside([this, attempt] { this->release(attempt); });
    };
    hooks.start = [this](const outcomes::attempt_request& order) {
        this->actions.outside(
            [this, order] { this->world.hooks->start_attempt(this->name, order); });
    };
    hooks.cancel = [this](attempt_number attempt) {
        this->actions.outside(
            [this, attempt] { this->world.hooks->cancel_attempt(this->name, attempt); });
    };
    hooks.answer = [this](request_number request, const outcomes::caller_response& word) {
        this->actions.outside([this, request, word] { this->world.hooks->answer(request, word); });
    };
    hooks.append = [this](const std::string& stream, std::uint64_t id, std::string bytes) {
        this->actions.outside([this, stream, id, bytes = std::move(bytes)]() mutable {
            this->append(stream, id, std::move(bytes));
        });
    };
    hooks.send = [this](const vm_id& to, const wire::message& body) {
        this->actions.outside([this, to, body] { this->world.send(to, body); });
    };
    hooks.next_attempt = this->world.next_attempt;
    hooks.log = [this](const observe::decision& made) {
        this->actions.outside([this, made] { this->world.hooks->decided(made); });
    };
    return hooks;
}

routing::router_hooks service_shard::make_router_hooks()
{
    routing::router_hooks hooks;
    hooks.granted = [this](routing::ticket_number ticket, const routing::permit& given) {
        this->actions.inside([this, ticket, given] { this->granted(ticket, given); });
    };
    hooks.refused = [this](routing::ticket_number ticket, wire::refusal_reason reason,
                           duration retry_after) {
        this->actions.inside([this, ticket, reason, retry_after] {
            const auto now = this->world.hooks->clock();
            this->engine.permit_refused(now, attempt_of(ticket), reason, retry_after);
        });
    };
    hooks.send = [this](const vm_id& to, const wire::message& body) {
        this->actions.outside([this, to, body] { this->world.send(to, body); });
    };
    hooks.probe = [this](const membership::backend_server& backend) {
        this->actions.outside([this, backend] { this->probe(backend); });
    };
    hooks.log = [this](const observe::decision& made) {
        this->actions.outside([this, made] { this->world.hooks->decided(made); });
    };
    return hooks;
}

void service_shard::configure(
    const std::shared_ptr<const configuration::effective_configuration>& tree)
{
    this->decide([&](time_point now) {
        // Threads may bring two trees in either order; the newer one stays.
        if (tree->revision < this->last_revision) {
            return;
        }
        this->last_revision = tree->revision;
        this->router.configure(now, tree);
        const auto found = tree->services.find(this->name);
        if (found == tree->services.end() || found->second->cells.empty()) {
            return;
        }
        const auto& cells = found->second->cells;
        const auto local = cells.find(this->here);
        const auto& limits = local == cells.end() ? cells.begin()->second : local->second;
        this->engine.configure(now, limits);
        this->engine.configure_run_once(now, run_once_limits_of(limits));
        this->follow_new_streams();
    });
}

void service_shard::update_members(const membership::view_pointer& view)
{
    this->decide([&](time_point now) {
        if (view->version < this->last_version) {
            return;
        }
        this->last_version = view->version;
        this->router.update_members(now, view);
        this->engine.update_vms(now, live_vms(*view));
    });
}

void service_shard::begin(const outcomes::incoming_request& request)
{
    this->decide([&](time_point now) { this->engine.begin(now, request); });
}

void service_shard::caller_gone(request_number request)
{
    this->decide([&](time_point now) { this->engine.caller_gone(now, request); });
}

void service_shard::attempt_ended(const outcomes::attempt_report& report)
{
    this->decide([&](time_point now) {
        const auto held = this->permits.extract(report.attempt);
        if (!held.empty()) {
            const routing::permit_use use{usage_of(report), report.latency, report.instance,
                                          report.load};
            this->router.release(now, held.mapped(), use);
        }
        this->engine.attempt_ended(now, report);
    });
}

void service_shard::receive(const vm_id& from, const wire::message& body)
{
    this->decide([&](time_point now) {
        this->router.receive(now, from, body);
        this->engine.receive(now, from, body);
    });
}

void service_shard::stop()
{
    this->decide([&](time_point now) {
        this->engine.stop(now);
        this->router.stop(now);
    });
}

bool service_shard::settled() const
{
    return this->actions.look([this] { return this->engine.settled(); });
}

std::size_t service_shard::in_flight() const
{
    return this->actions.look([this] { return this->engine.in_flight(); });
}

service_status service_shard::status() const
{
    return this->actions.look([this] {
        const auto now = this->world.hooks->clock();
        return service_status{this->name, this->engine.in_flight(), this->router.status(now)};
    });
}

void service_shard::acquire(const outcomes::attempt_permit_request& wish)
{
    const auto now = this->world.hooks->clock();
    this->router.request(now, {ticket_of(wish.attempt), wish.deadline, wish.caller, wish.avoid});
}

void service_shard::release(attempt_number attempt)
{
    const auto now = this->world.hooks->clock();
    const auto held = this->permits.extract(attempt);
    if (held.empty()) {
        this->router.cancel(now, ticket_of(attempt));
        return;
    }
    this->router.release(now, held.mapped(), {});
}

void service_shard::granted(routing::ticket_number ticket, const routing::permit& given)
{
    const auto now = this->world.hooks->clock();
    this->permits.insert_or_assign(attempt_of(ticket), given);
    this->engine.permit_granted(now, attempt_of(ticket), given.backend, given.endpoint);
}

void service_shard::append(const std::string& stream, std::uint64_t id, std::string bytes)
{
    const auto self = this->weak_from_this();
    this->world.hooks->log.append(
        stream, std::move(bytes), [self, id](const platform::append_result& result) {
            if (const auto shard = self.lock()) {
                shard->decide([&](time_point now) { shard->engine.append_ended(now, id, result); });
            }
        });
}

void service_shard::probe(const membership::backend_server& backend)
{
    const auto self = this->weak_from_this();
    const auto target = backend.name;
    this->world.hooks->probe(backend,
                             [self, target](const std::optional<routing::probe_result>& result) {
                                 if (const auto shard = self.lock()) {
                                     shard->decide([&](time_point now) {
                                         shard->router.handle_probe_result(now, target, result);
                                     });
                                 }
                             });
}

void service_shard::decide(const std::function<void(time_point)>& decision)
{
    this->actions.run([&] { decision(this->world.hooks->clock()); }, [this] { this->arm(); });
}

void service_shard::arm()
{
    const auto now = this->world.hooks->clock();
    const auto due = std::min(this->router.next_tick(), this->engine.next_tick());
    const auto delay = this->timer.plan(now, due);
    if (!delay) {
        return;
    }
    const auto self = this->weak_from_this();
    this->actions.outside([this, self, delay = *delay] {
        this->world.hooks->after(delay, [self] {
            if (const auto shard = self.lock()) {
                shard->decide([&shard](time_point at) {
                    shard->timer.fired(at);
                    shard->router.tick(at);
                    shard->engine.tick(at);
                });
            }
        });
    });
}

void service_shard::follow_new_streams()
{
    for (const auto& [stream, offset] : this->engine.streams()) {
        if (this->followed.insert(stream).second) {
            this->actions.outside([this, stream = stream] { this->read_on(stream, no_wait); });
        }
    }
}

void service_shard::read_on(const std::string& stream, std::chrono::milliseconds wait)
{
    const auto from = this->actions.look([&] {
        for (const auto& [each, offset] : this->engine.streams()) {
            if (each == stream) {
                return offset;
            }
        }
        return std::uint64_t{0};
    });
    const auto self = this->weak_from_this();
    this->world.hooks->log.read(stream, from, wait,
                                [self, stream](const platform::read_result& result) {
                                    if (const auto shard = self.lock()) {
                                        shard->log_read(stream, result);
                                    }
                                });
}

void service_shard::log_read(const std::string& stream, const platform::read_result& result)
{
    this->decide([&](time_point now) { this->engine.log_read(now, stream, result); });
    if (result.outcome == platform::read_outcome::ok) {
        this->read_on(stream, outcomes::run_once_limits{}.read_wait);
        return;
    }
    const auto self = this->weak_from_this();
    this->world.hooks->after(read_retry, [self, stream] {
        if (const auto shard = self.lock()) {
            shard->read_on(stream, no_wait);
        }
    });
}

} // namespace azureshore::node::detail
