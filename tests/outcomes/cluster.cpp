#include "outcomes/cluster.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes::testing {

namespace {

using namespace std::chrono_literals;

attempt_report ended(attempt_number attempt, attempt_end end, attempt_proof proof)
{
    attempt_report made;
    made.attempt = attempt;
    made.end = end;
    made.proof = proof;
    return made;
}

} // namespace

cluster::cluster(std::uint64_t seed, std::size_t vm_count, std::size_t backend_count,
                 configuration::service_limits service_limits, run_once_limits log_limits)
    : random(seeded_random(seed)), log(this->time, seeded_random(seed + 1)), limits(service_limits),
      once_limits(log_limits), vms(vm_count)
{
    for (std::size_t i = 0; i < backend_count; ++i) {
        this->backends.push_back({{"plate-" + std::to_string(i + 1)}, {}, 0});
    }
    for (std::size_t i = 0; i < vm_count; ++i) {
        this->vms[i].name = {"vm-" + std::to_string(i + 1)};
    }
    for (std::size_t i = 0; i < vm_count; ++i) {
        this->boot(i);
    }
}

duration cluster::spread(duration mean)
{
    const auto factor = 0.2 + 1.6 * uniform(this->random);
    return duration(static_cast<duration::rep>(static_cast<double>(mean.count()) * factor));
}

void cluster::boot(std::size_t vm)
{
    auto& of = this->vms[vm];
    ++of.life;
    of.sendings.clear();
    of.reported.clear();
    of.paused_until = {};
    of.engine = std::make_unique<request_engine>(
        of.name, service_id{"foundry"}, seeded_random(this->random()), this->hooks_for(vm));
    of.engine->configure(this->time.now(), this->limits);
    of.engine->configure_run_once(this->time.now(), this->once_limits);
    std::vector<vm_id> names;
    for (const auto& each : this->vms) {
        names.push_back(each.name);
    }
    of.engine->update_vms(this->time.now(), names);
    of.next_tick = time_point::max();
    for (std::size_t stream = 0; stream < of.engine->streams().size(); ++stream) {
        // The first read asks only where the stream ends.
        this->follow(vm, stream, 0ms);
    }
}

engine_hooks cluster::hooks_for(std::size_t vm)
{
    engine_hooks hooks;
    hooks.acquire = [this, vm](const attempt_permit_request& wish) {
        this->grant(vm, wish);
    };
    hooks.release = [](attempt_number) {
    };
    hooks.start = [this, vm](const attempt_request& order) {
        this->start(vm, order);
    };
    hooks.cancel = [this, vm](attempt_number number) {
        this->report(vm, this->spread(1ms),
                     ended(number, attempt_end::unknown, attempt_proof::cancelled));
    };
    hooks.answer = [this, vm](request_number to, const caller_response& said) {
        this->word(vm, to, said);
    };
    hooks.append = [this, vm](const std::string& stream, std::uint64_t id, std::string bytes) {
        const auto life = this->vms[vm].life;
        this->log.append(stream, std::move(bytes), [=, this](platform::append_result result) {
            this->call_now(vm, life, [=, this](request_engine& engine) {
                engine.append_ended(this->time.now(), id, result);
            });
        });
    };
    hooks.send = [this, vm](const vm_id& to, const wire::message& body) {
        this->deliver(vm, to, body);
    };
    hooks.log = [this, vm](const observe::decision& made) {
        if (this->listener) {
            this->listener(this->vms[vm].name, observe::to_line(made));
        }
    };
    return hooks;
}

void cluster::call(std::size_t vm, duration span, engine_call what)
{
    const auto life = this->vms[vm].life;
    this->time.after(span,
                     [this, vm, life, done = std::move(what)] { this->call_now(vm, life, done); });
}

void cluster::call_now(std::size_t vm, std::uint64_t life, const engine_call& what)
{
    auto& of = this->vms[vm];
    if (of.life != life) {
        return;
    }
    if (of.paused_until > this->time.now()) {
        this->time.at(of.paused_until, [=, this] { this->call_now(vm, life, what); });
        return;
    }
    what(*of.engine);
    this->plan_tick(vm);
}

void cluster::plan_tick(std::size_t vm)
{
    auto& of = this->vms[vm];
    const auto due = std::max(of.engine->next_tick(), this->time.now());
    if (due >= of.next_tick || due == time_point::max()) {
        return;
    }
    of.next_tick = due;
    this->time.at(due, [this, vm, due, life = of.life] {
        if (this->vms[vm].life == life && this->vms[vm].next_tick == due) {
            this->vms[vm].next_tick = time_point::max();
            this->call_now(vm, life,
                           [this](request_engine& engine) { engine.tick(this->time.now()); });
        }
    });
}

void cluster::follow(std::size_t vm, std::size_t stream, duration wait)
{
    auto& of = this->vms[vm];
    if (!of.follows) {
        return;
    }
    const auto followed = of.engine->streams()[stream];
    const auto name = followed.first;
    this->log.read(
        name, followed.second, wait, [=, this, life = of.life](const platform::read_result& got) {
            this->call_now(vm, life, [=, this](request_engine& engine) {
                engine.log_read(this->time.now(), name, got);
                const auto again = got.outcome == platform::read_outcome::unavailable ? 100ms : 0ms;
                this->call(vm, again + 200us,
                           [=, this](request_engine&) { this->follow(vm, stream, 300ms); });
            });
        });
}

void cluster::grant(std::size_t vm, const attempt_permit_request& wish)
{
    if (this->chance(this->faults.refused_permit)) {
        this->call(vm, this->spread(1ms), [=, this](request_engine& engine) {
            engine.permit_refused(this->time.now(), wish.attempt, wire::refusal_reason::overloaded,
                                  100ms);
        });
        return;
    }
    std::vector<backend_id> free;
    for (const auto& each : this->backends) {
        const bool avoided = std::count(wish.avoid.begin(), wish.avoid.end(), each.name) > 0;
        if (!avoided && each.up_at <= this->time.now()) {
            free.push_back(each.name);
        }
    }
    const auto chosen =
        free.empty() ? this->backends[0].name : free[uniform_index(this->random, free.size())];
    this->call(vm, this->spread(1ms), [=, this](request_engine& engine) {
        engine.permit_granted(this->time.now(), wish.attempt, chosen, {"127.0.0.1", 80});
    });
}

void cluster::start(std::size_t vm, const attempt_request& order)
{
    auto& on = *std::find_if(this->backends.begin(), this->backends.end(),
                             [&](const auto& each) { return each.name == order.backend; });
    if (on.up_at > this->time.now() || this->chance(this->faults.never_connected)) {
        this->report(vm, this->spread(1ms),
                     ended(order.attempt, attempt_end::not_run, attempt_proof::never_connected));
    }
    else if (this->chance(this->faults.backend_refused)) {
        this->report(vm, this->spread(1ms),
                     ended(order.attempt, attempt_end::not_run, attempt_proof::backend_refused));
    }
    else if (this->chance(this->faults.lost_before)) {
        this->report(vm, this->spread(1ms),
                     ended(order.attempt, attempt_end::unknown, attempt_proof::connection_lost));
    }
    else {
        this->time.after(this->spread(1ms), [this, vm, order, &on] { this->run(vm, order, on); });
    }
}

void cluster::run(std::size_t vm, const attempt_request& order, backend_state& on)
{
    const auto id = std::stoull(order.content->headers.at(0).value);
    this->judge.ran(id);
    const auto lost = ended(order.attempt, attempt_end::unknown, attempt_proof::connection_lost);
    if (this->sendings[id].plan.poison) {
        ++this->backend_deaths;
        ++on.life;
        on.up_at = this->time.now() + 300ms;
        this->report(vm, this->spread(1ms), lost);
        return;
    }
    if (this->chance(this->faults.no_answer)) {
        return;
    }
    auto done = ended(order.attempt, attempt_end::answered, attempt_proof::whole_answer);
    done.answer = answer_content{200, {}, order.content->body};
    const bool cut = this->chance(this->faults.lost_after);
    const auto life = this->vms[vm].life;
    this->time.after(this->spread(this->faults.service_time), [=, this, &on, began = on.life] {
        // What ran beside a poisoned request dies with its backend server.
        if (this->vms[vm].life == life) {
            this->report(vm, 0ms, cut || on.life != began ? lost : done);
        }
    });
}

void cluster::report(std::size_t vm, duration span, attempt_report ended_so)
{
    auto& of = this->vms[vm];
    const bool first = of.reported.insert(ended_so.attempt.value).second;
    if (!first && !this->chance(this->faults.doubled_report)) {
        return;
    }
    this->call(vm, span, [this, report = std::move(ended_so)](request_engine& engine) {
        engine.attempt_ended(this->time.now(), report);
    });
}

void cluster::word(std::size_t vm, request_number to, const caller_response& said)
{
    const auto id = this->vms[vm].sendings.at(to.value);
    this->last_words.resize(std::max<std::size_t>(this->last_words.size(), id + 1));
    this->last_words[id] = said;
    if (this->listener) {
        const auto text = said.answer ? "answer to " + said.answer->body
                                      : "refusal " + std::string(to_string(said.refused->cause));
        this->listener(this->vms[vm].name, "-> sending " + std::to_string(id) + " gets " + text);
    }
    if (said.answer) {
        ++this->words["answered"];
        this->judge.answered(id, std::stoull(said.answer->body));
    }
    else {
        const bool not_run = said.refused->claim == run_claim::not_run;
        ++this->words[std::string(to_string(said.refused->cause)) + (not_run ? "" : ", unknown")];
        this->judge.refused(id, not_run);
    }
}

void cluster::deliver(std::size_t from, const vm_id& to, const wire::message& body)
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        const bool meant = to.empty() ? vm != from : this->vms[vm].name == to;
        if (!meant || this->chance(this->faults.lost_message)) {
            continue;
        }
        ++this->messages;
        this->call(vm, this->spread(this->faults.message_time),
                   [=, this, sender = this->vms[from].name](request_engine& engine) {
                       engine.receive(this->time.now(), sender, body);
                   });
    }
}

std::uint64_t cluster::send(std::size_t vm, const sending_plan& plan)
{
    auto& of = this->vms[vm];
    const auto id =
        this->judge.sent(plan.order, plan.idempotent, !plan.idempotent && !plan.key.empty());
    incoming_request request;
    request.number = {id + 1};
    request.service = {"foundry"};
    request.idempotent = plan.idempotent;
    request.key = plan.key;
    request.time_left = plan.time_left;
    request.content =
        std::make_shared<request_content>(request_content{"POST",
                                                          plan.poison ? "/poison" : "/orders",
                                                          {{"sending", std::to_string(id)}},
                                                          std::to_string(plan.order)});
    of.sendings[request.number.value] = id;
    this->sendings.push_back({plan, vm, of.life, request.number.value});
    this->call_now(vm, of.life,
                   [=, this](request_engine& engine) { engine.begin(this->time.now(), request); });
    return id;
}

void cluster::hang_up(std::uint64_t sending)
{
    this->judge.gone(sending);
    const auto& of = this->sendings[sending];
    this->call_now(of.vm, of.life, [=, this](request_engine& engine) {
        engine.caller_gone(this->time.now(), {of.request});
    });
}

void cluster::kill(std::size_t vm)
{
    for (const auto& [request, sending] : this->vms[vm].sendings) {
        this->judge.gone(sending);
    }
    this->boot(vm);
}

void cluster::pause(std::size_t vm, duration span)
{
    this->vms[vm].paused_until = this->time.now() + span;
}

} // namespace azureshore::outcomes::testing
