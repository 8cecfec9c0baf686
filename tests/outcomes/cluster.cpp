#include "outcomes/cluster.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes::testing {

namespace {

using namespace std::chrono_literals;

attempt_report report_of(attempt_number attempt, attempt_end end, attempt_proof proof)
{
    attempt_report report;
    report.attempt = attempt;
    report.end = end;
    report.proof = proof;
    return report;
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
        this->start_vm(i);
    }
}

duration cluster::add_jitter(duration mean)
{
    const auto factor = 0.2 + 1.6 * uniform(this->random);
    return duration(static_cast<duration::rep>(static_cast<double>(mean.count()) * factor));
}

void cluster::start_vm(std::size_t vm)
{
    auto& state = this->vms[vm];
    ++state.incarnation;
    state.sendings.clear();
    state.reported.clear();
    state.paused_until = {};
    state.engine = std::make_unique<request_engine>(
        state.name, service_id{"foundry"}, seeded_random(this->random()), this->hooks_for(vm));
    state.engine->configure(this->time.now(), this->limits);
    state.engine->configure_run_once(this->time.now(), this->once_limits);
    std::vector<vm_id> names;
    for (const auto& each : this->vms) {
        names.push_back(each.name);
    }
    state.engine->update_vms(this->time.now(), names);
    state.next_tick = time_point::max();
    for (std::size_t stream = 0; stream < state.engine->streams().size(); ++stream) {
        // The first read only finds the end of the stream.
        this->read_stream(vm, stream, 0ms);
    }
}

engine_hooks cluster::hooks_for(std::size_t vm)
{
    engine_hooks hooks;
    hooks.acquire = [this, vm](const attempt_permit_request& permit_request) {
        this->decide_permit(vm, permit_request);
    };
    hooks.release = [](attempt_number) {
    };
    hooks.start = [this, vm](const attempt_request& attempt) {
        this->start(vm, attempt);
    };
    hooks.cancel = [this, vm](attempt_number number) {
        this->report(vm, this->add_jitter(1ms),
                     report_of(number, attempt_end::unknown, attempt_proof::cancelled));
    };
    hooks.answer = [this, vm](request_number number, const caller_response& response) {
        this->record_response(vm, number, response);
    };
    hooks.append = [this, vm](const std::string& stream, std::uint64_t id, std::string bytes) {
        const auto incarnation = this->vms[vm].incarnation;
        this->log.append(stream, std::move(bytes), [=, this](platform::append_result result) {
            this->call_now(vm, incarnation, [=, this](request_engine& engine) {
                engine.append_ended(this->time.now(), id, result);
            });
        });
    };
    hooks.send = [this, vm](const vm_id& to, const wire::message& body) {
        this->deliver(vm, to, body);
    };
    hooks.log = [this, vm](const observe::decision& decision) {
        if (this->on_decision) {
            this->on_decision(this->vms[vm].name, observe::to_line(decision));
        }
    };
    return hooks;
}

void cluster::call(std::size_t vm, duration span, engine_call function)
{
    const auto incarnation = this->vms[vm].incarnation;
    this->time.after(span, [this, vm, incarnation, function = std::move(function)] {
        this->call_now(vm, incarnation, function);
    });
}

void cluster::call_now(std::size_t vm, std::uint64_t incarnation, const engine_call& function)
{
    auto& state = this->vms[vm];
    if (state.incarnation != incarnation) {
        return;
    }
    if (state.paused_until > this->time.now()) {
        this->time.at(state.paused_until, [=, this] { this->call_now(vm, incarnation, function); });
        return;
    }
    function(*state.engine);
    this->schedule_tick(vm);
}

void cluster::schedule_tick(std::size_t vm)
{
    auto& state = this->vms[vm];
    const auto due = std::max(state.engine->next_tick(), this->time.now());
    if (due >= state.next_tick || due == time_point::max()) {
        return;
    }
    state.next_tick = due;
    this->time.at(due, [this, vm, due, incarnation = state.incarnation] {
        if (this->vms[vm].incarnation == incarnation && this->vms[vm].next_tick == due) {
            this->vms[vm].next_tick = time_point::max();
            this->call_now(vm, incarnation,
                           [this](request_engine& engine) { engine.tick(this->time.now()); });
        }
    });
}

void cluster::read_stream(std::size_t vm, std::size_t stream, duration wait)
{
    auto& state = this->vms[vm];
    if (!state.reads_log) {
        return;
    }
    const auto followed = state.engine->streams()[stream];
    const auto name = followed.first;
    this->log.read(name, followed.second, wait,
                   [=, this, incarnation = state.incarnation](const platform::read_result& result) {
                       this->call_now(vm, incarnation, [=, this](request_engine& engine) {
                           engine.log_read(this->time.now(), name, result);
                           const auto retry_delay =
                               result.outcome == platform::read_outcome::unavailable ? 100ms : 0ms;
                           this->call(vm, retry_delay + 200us, [=, this](request_engine&) {
                               this->read_stream(vm, stream, 300ms);
                           });
                       });
                   });
}

void cluster::decide_permit(std::size_t vm, const attempt_permit_request& permit_request)
{
    if (this->chance(this->faults.refused_permit)) {
        this->call(vm, this->add_jitter(1ms), [=, this](request_engine& engine) {
            engine.permit_refused(this->time.now(), permit_request.attempt,
                                  wire::refusal_reason::overloaded, 100ms);
        });
        return;
    }
    std::vector<backend_id> available;
    for (const auto& each : this->backends) {
        const bool avoided =
            std::count(permit_request.avoid.begin(), permit_request.avoid.end(), each.name) > 0;
        if (!avoided && each.available_at <= this->time.now()) {
            available.push_back(each.name);
        }
    }
    const auto chosen = available.empty()
                            ? this->backends[0].name
                            : available[uniform_index(this->random, available.size())];
    this->call(vm, this->add_jitter(1ms), [=, this](request_engine& engine) {
        engine.permit_granted(this->time.now(), permit_request.attempt, chosen, {"127.0.0.1", 80});
    });
}

void cluster::start(std::size_t vm, const attempt_request& attempt)
{
    auto& backend = *std::find_if(this->backends.begin(), this->backends.end(),
                                  [&](const auto& each) { return each.name == attempt.backend; });
    if (backend.available_at > this->time.now() || this->chance(this->faults.never_connected)) {
        this->report(
            vm, this->add_jitter(1ms),
            report_of(attempt.attempt, attempt_end::not_run, attempt_proof::never_connected));
    }
    else if (this->chance(this->faults.backend_refused)) {
        this->report(
            vm, this->add_jitter(1ms),
            report_of(attempt.attempt, attempt_end::not_run, attempt_proof::backend_refused));
    }
    else if (this->chance(this->faults.lost_before_run)) {
        this->report(
            vm, this->add_jitter(1ms),
            report_of(attempt.attempt, attempt_end::unknown, attempt_proof::connection_lost));
    }
    else {
        this->time.after(this->add_jitter(1ms),
                         [this, vm, attempt, &backend] { this->run(vm, attempt, backend); });
    }
}

void cluster::run(std::size_t vm, const attempt_request& attempt, backend_state& backend)
{
    const auto id = std::stoull(attempt.content->headers.at(0).value);
    this->invariant_checker.ran(id);
    const auto lost =
        report_of(attempt.attempt, attempt_end::unknown, attempt_proof::connection_lost);
    if (this->sendings[id].plan.poison) {
        ++this->backend_deaths;
        ++backend.incarnation;
        backend.available_at = this->time.now() + 300ms;
        this->report(vm, this->add_jitter(1ms), lost);
        return;
    }
    if (this->chance(this->faults.no_answer)) {
        return;
    }
    auto answered = report_of(attempt.attempt, attempt_end::answered, attempt_proof::whole_answer);
    answered.answer = answer_content{200, {}, attempt.content->body};
    const bool cut = this->chance(this->faults.lost_after_run);
    const auto incarnation = this->vms[vm].incarnation;
    this->time.after(
        this->add_jitter(this->faults.service_time),
        [=, this, &backend, started_incarnation = backend.incarnation] {
            // A crash of the backend server also ends the requests that run beside the poisoned
            // one.
            if (this->vms[vm].incarnation == incarnation) {
                this->report(vm, 0ms,
                             cut || backend.incarnation != started_incarnation ? lost : answered);
            }
        });
}

void cluster::report(std::size_t vm, duration span, attempt_report attempt_end_report)
{
    auto& state = this->vms[vm];
    const bool first = state.reported.insert(attempt_end_report.attempt.value).second;
    if (!first && !this->chance(this->faults.duplicate_report)) {
        return;
    }
    this->call(vm, span, [this, report = std::move(attempt_end_report)](request_engine& engine) {
        engine.attempt_ended(this->time.now(), report);
    });
}

void cluster::record_response(std::size_t vm, request_number number,
                              const caller_response& response)
{
    const auto id = this->vms[vm].sendings.at(number.value);
    this->last_responses.resize(std::max<std::size_t>(this->last_responses.size(), id + 1));
    this->last_responses[id] = response;
    if (this->on_decision) {
        const auto text = response.answer
                              ? "answer to order " + response.answer->body
                              : "refusal " + std::string(to_string(response.refused->cause));
        this->on_decision(this->vms[vm].name, "-> sending " + std::to_string(id) + " gets " + text);
    }
    if (response.answer) {
        ++this->responses["answered"];
        this->invariant_checker.answered(id, std::stoull(response.answer->body));
    }
    else {
        const bool not_run = response.refused->claim == run_claim::not_run;
        ++this->responses[std::string(to_string(response.refused->cause)) +
                          (not_run ? "" : ", unknown")];
        this->invariant_checker.refused(id, not_run);
    }
}

void cluster::deliver(std::size_t from, const vm_id& to, const wire::message& body)
{
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        const bool addressed = to.empty() ? vm != from : this->vms[vm].name == to;
        if (!addressed || this->chance(this->faults.lost_message)) {
            continue;
        }
        ++this->messages;
        this->call(vm, this->add_jitter(this->faults.message_time),
                   [=, this, sender = this->vms[from].name](request_engine& engine) {
                       engine.receive(this->time.now(), sender, body);
                   });
    }
}

std::uint64_t cluster::send(std::size_t vm, const sending_plan& plan)
{
    auto& state = this->vms[vm];
    const auto id = this->invariant_checker.sent(plan.order, plan.idempotent,
                                                 !plan.idempotent && !plan.key.empty());
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
    state.sendings[request.number.value] = id;
    this->sendings.push_back({plan, vm, state.incarnation, request.number.value});
    this->call_now(vm, state.incarnation,
                   [=, this](request_engine& engine) { engine.begin(this->time.now(), request); });
    return id;
}

void cluster::disconnect_caller(std::uint64_t sending)
{
    this->invariant_checker.caller_gone(sending);
    const auto& state = this->sendings[sending];
    this->call_now(state.vm, state.incarnation, [=, this](request_engine& engine) {
        engine.caller_gone(this->time.now(), {state.request});
    });
}

void cluster::kill(std::size_t vm)
{
    for (const auto& [request, sending] : this->vms[vm].sendings) {
        this->invariant_checker.caller_gone(sending);
    }
    this->start_vm(vm);
}

void cluster::pause(std::size_t vm, duration span)
{
    this->vms[vm].paused_until = this->time.now() + span;
}

} // namespace azureshore::outcomes::testing
