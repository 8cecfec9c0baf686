#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

constexpr int first_server_error = 500;
constexpr int status_not_found = 404;
constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

// A second send is considered when an answer is this many times later than expected, and once
// more later on.
constexpr double first_lateness = 1.8;
constexpr double second_lateness = 3.5;
constexpr duration least_lateness = std::chrono::milliseconds(20);
// The caller itself gives up at its deadline; an answer of our own after that only tidies up.
constexpr duration after_deadline = std::chrono::milliseconds(50);
// A caller that does not say how long it waits.
constexpr duration unknown_patience = std::chrono::seconds(30);
// Times to come back: what is missing, or room, is expected that soon.
constexpr duration soon = std::chrono::milliseconds(100);
// The longest that a request waits for a daemon that has just started, and how many may.
constexpr duration longest_hold = std::chrono::milliseconds(1000);
constexpr std::size_t most_held = 256;
// Weights of failures against that of a lost connection.
constexpr double error_weight = 0.5;
constexpr double full_weight = 0.3;

std::string text_of(double number)
{
    auto text = std::to_string(number);
    text.resize(std::min(text.size(), text.find('.') + 3));
    return text;
}

} // namespace

dispatcher::state::state(data_centre_id self, shared_bounds shared, dispatcher_hooks actions)
    : book(std::move(self), actions.random), hooks(std::move(actions)), bounds(shared)
{
}

bool dispatcher::state::configure(std::shared_ptr<const traffic_configuration> next)
{
    if (this->current && next->version <= this->current->version) {
        return false;
    }
    this->current = std::move(next);
    this->split.reset();
    this->begin_held();
    return true;
}

void dispatcher::state::set_bounds(const shared_bounds& shared)
{
    this->bounds = shared;
    for (auto& [name, each] : this->services) {
        each.allowance.set_bounds(shared.retry_ratio, shared.retry_slack);
    }
}

void dispatcher::state::backends_listed()
{
    this->listed = true;
    this->begin_held();
}

// A daemon that has just started knows more within a moment: a request that waits for it is served,
// one that is refused comes back to another daemon that may have started just as late.
void dispatcher::state::hold(const arrived_request& request)
{
    this->held[request.number] = request;
    const auto patience = request.patience.value_or(longest_hold * 2);
    this->hooks.after(
        std::min<duration>(patience / 2, longest_hold), [this, number = request.number] {
            if (const auto late = this->held.extract(number)) {
                this->refuse_new(late.mapped(),
                                 {refusal_cause::no_configuration, status_unavailable, soon});
            }
        });
}

void dispatcher::state::begin_held()
{
    if (!this->knows_enough()) {
        return;
    }
    const auto waiting = std::exchange(this->held, {});
    for (const auto& [number, request] : waiting) {
        this->take_in(request);
    }
}

double dispatcher::state::request_rate()
{
    return static_cast<double>(this->arrivals.count(this->now())) /
           std::chrono::duration<double>(rate_window).count();
}

live_request* dispatcher::state::find(request_number request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

dispatcher::state::service_state& dispatcher::state::service(const service_id& name)
{
    return this->services.try_emplace(name, this->bounds).first->second;
}

detail::work_estimate& dispatcher::state::work(const live_request& of)
{
    return this->works.try_emplace(of.on->name + '@' + of.service.value, of.on->target_latency)
        .first->second;
}

const service_traits& dispatcher::state::traits(const live_request& of) const
{
    static const service_traits unknown;
    const auto* found = of.version->find_service(of.service);
    return found == nullptr ? unknown : *found;
}

void dispatcher::state::begin(const arrived_request& request)
{
    ++this->counted.requests;
    this->arrivals.add(this->now());
    if (this->knows_enough()) {
        this->take_in(request);
    }
    else if (this->held.size() < most_held) {
        this->hold(request);
    }
    else {
        this->refuse_new(request, {refusal_cause::no_configuration, status_unavailable, soon});
    }
}

void dispatcher::state::take_in(const arrived_request& request)
{
    const auto* on = this->current->find_route(request.host, request.path);
    if (on == nullptr) {
        this->refuse_new(request, {refusal_cause::no_route, status_not_found, std::nullopt});
        return;
    }
    if (this->suspected.condemned(this->now(), request.fingerprint)) {
        this->refuse_new(request,
                         {refusal_cause::suspect_request, status_unavailable, std::nullopt});
        return;
    }
    auto& of = this->requests[request.number];
    of.in = request;
    of.version = this->current;
    of.on = on;
    of.service = this->split.next(*on, this->hooks.random);
    const auto patience = request.patience.value_or(unknown_patience);
    of.deadline = request.arrived + std::min(on->timeout, patience);
    this->service(of.service).allowance.request(this->now());
    const auto ends = of.deadline + (patience < on->timeout ? after_deadline : duration{});
    this->hooks.after(ends - this->now(),
                      [this, number = request.number] { this->deadline_passed(number); });
    // Those that wait go first, unless this one is more urgent.
    const auto& queue = this->service(of.service).queue;
    const bool others_first = std::any_of(queue.begin(), queue.end(), [&](request_number each) {
        return this->goes_before(*this->find(each), of);
    });
    if (others_first) {
        this->wait_for_room(of);
        return;
    }
    this->start_search(of, false);
}

void dispatcher::state::send(live_request& of, const found_backend& to)
{
    const auto now = this->now();
    auto* known = this->book.find(to.backend);
    if (known == nullptr || !this->book.take_cold(now, *known, this->traits(of))) {
        this->hooks.release(to.probe);
        this->wait_for_room(of);
        return;
    }
    const attempt_number attempt{++this->last_attempt};
    ++of.attempts;
    ++this->counted.attempts;
    if (of.attempts > 1) {
        ++this->counted.second_sends;
        this->service(of.service).allowance.sent(now);
    }
    ++known->in_flight;
    of.running.insert(attempt);
    of.tried.insert(to.backend);
    this->attempts[attempt] = {of.in.number, to.backend, now, to.cost};
    this->log("send", of,
              {{"attempt", std::to_string(attempt.value)},
               {"backend", to.backend.value},
               {"cost", text_of(to.cost)},
               {"asked", std::to_string(to.asked)},
               {"own_in_flight", std::to_string(known->in_flight - 1)}});
    if (of.on->idempotent && of.attempts < of.on->max_attempts) {
        const auto late =
            std::max<duration>(this->work(of).expected(to.cost * first_lateness), least_lateness);
        this->set_second_send_timer(of, attempt, late, false);
    }
    const auto patience = of.in.patience.value_or(unknown_patience);
    const auto left = of.in.arrived + std::min(patience, of.on->timeout) - now;
    this->hooks.send({attempt, of.in.number, to.backend, known->registered.where, to.probe, left});
}

void dispatcher::state::set_second_send_timer(const live_request& of, attempt_number attempt,
                                              duration wait, bool last)
{
    this->hooks.after(wait, [this, request = of.in.number, attempt, last] {
        this->consider_second_send(request, attempt, last);
    });
}

// An answer is late: an idempotent request goes to a second backend server while it may still be
// in time there, or when the first seems to answer nothing at all.
void dispatcher::state::consider_second_send(request_number request, attempt_number attempt,
                                             bool last)
{
    auto* of = this->find(request);
    if (of == nullptr || !of->running.contains(attempt) || of->running.size() > 1 || of->search ||
        of->queued) {
        return;
    }
    const auto now = this->now();
    const auto& first = this->attempts.at(attempt);
    auto& estimate = this->work(*of);
    const bool in_time = now + estimate.expected(1.3) < of->in.arrived + of->on->target_latency;
    if (!last && !in_time) {
        const auto until = first.sent + estimate.expected(first.cost * second_lateness) - now;
        this->set_second_send_timer(*of, attempt, std::max(until, least_lateness), true);
        return;
    }
    if (this->may_try_again(*of) && now + estimate.expected(1.0) < of->deadline) {
        this->start_search(*of, true);
    }
}

bool dispatcher::state::may_try_again(live_request& of)
{
    return of.attempts < of.on->max_attempts &&
           this->service(of.service).allowance.allows(this->now(), this->daemons);
}

void dispatcher::state::attempt_ended(attempt_number attempt, const attempt_result& result)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto ended = found->second;
    this->attempts.erase(found);
    const auto now = this->now();
    if (auto* known = this->book.find(ended.backend); known != nullptr && known->in_flight > 0) {
        --known->in_flight;
    }
    if (result.load) {
        this->book.told_load(now, ended.backend, *result.load);
    }
    auto* of = this->find(ended.request);
    if (of == nullptr) {
        return;
    }
    of->running.erase(attempt);
    this->log("attempt_ended", *of,
              {{"attempt", std::to_string(attempt.value)},
               {"backend", ended.backend.value},
               {"end", result.end == attempt_end::answered  ? "answered"
                       : result.end == attempt_end::not_run ? "not_run"
                                                            : "unknown"},
               {"status", std::to_string(result.status)},
               {"ms", text_of(to_milliseconds(now - ended.sent))}});
    if (result.end == attempt_end::answered) {
        this->answered(*of, attempt, ended, result);
        return;
    }
    if (result.end == attempt_end::not_run) {
        this->book.failed(now, ended.backend, full_weight);
        this->try_again_or(
            *of,
            {of->may_have_run ? refusal_cause::outcome_unknown : refusal_cause::attempts_exhausted,
             of->may_have_run ? status_bad_gateway : status_unavailable, this->room_expected(*of)});
        return;
    }
    of->may_have_run = true;
    this->book.failed(now, ended.backend, 1);
    if (result.connection_lost) {
        this->suspected.lost(now, of->in.fingerprint);
        if (this->hooks.suspected) {
            this->hooks.suspected(of->in.fingerprint);
        }
    }
    const refusal otherwise{refusal_cause::outcome_unknown, status_bad_gateway, std::nullopt};
    if (!of->on->idempotent || this->suspected.condemned(now, of->in.fingerprint)) {
        this->refuse(*of, otherwise);
        return;
    }
    this->try_again_or(*of, otherwise);
}

void dispatcher::state::answered(live_request& of, attempt_number attempt,
                                 const running_attempt& ended, const attempt_result& result)
{
    if (result.status < first_server_error) {
        this->work(of).learn(this->now() - ended.sent, ended.cost);
        this->suspected.cleared(of.in.fingerprint);
        this->deliver(of, attempt);
        return;
    }
    this->book.failed(this->now(), ended.backend, error_weight);
    of.may_have_run = true;
    if (!of.on->idempotent) {
        this->deliver(of, attempt);
        return;
    }
    of.fallback = attempt;
    if (!of.running.empty() || of.search) {
        return;
    }
    if (this->may_try_again(of) && this->now() + this->work(of).expected(1.0) < of.deadline) {
        this->start_search(of, true);
        return;
    }
    this->deliver(of, attempt);
}

// Sends the request again if that is allowed and may still help; ends it otherwise, unless another
// attempt runs.
void dispatcher::state::try_again_or(live_request& of, const refusal& otherwise)
{
    if (!of.running.empty() || of.search || of.queued) {
        return;
    }
    if (this->may_try_again(of) && this->now() + this->work(of).expected(1.0) < of.deadline) {
        this->start_search(of, false);
        return;
    }
    this->refuse(of, otherwise);
}

void dispatcher::state::deadline_passed(request_number request)
{
    auto* of = this->find(request);
    if (of == nullptr) {
        return;
    }
    if (of->running.empty() && !of->may_have_run) {
        this->refuse(*of, {refusal_cause::overloaded, status_unavailable, std::nullopt});
        return;
    }
    this->refuse(*of, {refusal_cause::timed_out, status_gateway_timeout, std::nullopt});
}

void dispatcher::state::caller_gone(request_number request)
{
    this->held.erase(request);
    if (auto* of = this->find(request)) {
        this->log("caller_gone", *of, {});
        this->end(*of);
    }
}

void dispatcher::state::deliver(live_request& of, attempt_number attempt)
{
    ++this->counted.answered;
    const auto request = of.in.number;
    this->log("answer", of, {{"attempt", std::to_string(attempt.value)}});
    this->end(of);
    this->hooks.deliver(request, attempt);
}

void dispatcher::state::refuse(live_request& of, refusal why)
{
    if (of.fallback) {
        this->deliver(of, *of.fallback);
        return;
    }
    if (of.may_have_run && why.status == status_unavailable) {
        why.status = status_bad_gateway;
        why.retry_after.reset();
    }
    ++this->counted.refused;
    const auto request = of.in.number;
    this->log("refuse", of,
              {{"cause", std::string(to_string(why.cause))},
               {"status", std::to_string(why.status)},
               {"attempts", std::to_string(of.attempts)},
               {"may_have_run", of.may_have_run ? "true" : "false"},
               {"waiting", std::to_string(this->service(of.service).queue.size())},
               {"usual_ms", text_of(to_milliseconds(this->work(of).expected(1)))},
               {"left_ms", text_of(to_milliseconds(of.deadline - this->now()))}});
    this->end(of);
    this->hooks.refuse(request, why);
}

void dispatcher::state::refuse_new(const arrived_request& request, refusal why)
{
    ++this->counted.refused;
    if (this->hooks.decided) {
        this->hooks.decided(
            {"refuse",
             {{"request", request.id},
              {"cause", std::string(to_string(why.cause))},
              {"status", std::to_string(why.status)},
              {"version", std::to_string(this->current ? this->current->version : 0)}}});
    }
    this->hooks.refuse(request.number, why);
}

void dispatcher::state::end(live_request& of)
{
    this->leave_queue(of);
    this->drop_search(of);
    const auto running = of.running;
    this->requests.erase(of.in.number);
    for (const auto attempt : running) {
        const auto found = this->attempts.find(attempt);
        if (found == this->attempts.end()) {
            continue;
        }
        if (auto* known = this->book.find(found->second.backend);
            known != nullptr && known->in_flight > 0) {
            --known->in_flight;
        }
        this->attempts.erase(found);
        this->hooks.cancel(attempt);
    }
}

void dispatcher::state::log(std::string_view event, const live_request& of,
                            std::vector<observe::decision_field> fields)
{
    if (!this->hooks.decided) {
        return;
    }
    observe::decision made{event, {{"request", of.in.id}, {"route", of.on->name}}};
    made.fields.push_back({"service", of.service.value});
    made.fields.push_back({"version", std::to_string(of.version->version)});
    made.fields.push_back({"age_ms", text_of(to_milliseconds(this->now() - of.in.arrived))});
    for (auto& each : fields) {
        made.fields.push_back(std::move(each));
    }
    this->hooks.decided(made);
}

// Room is expected when a request of this kind has been served; spread, so that callers do not
// come back together.
duration dispatcher::state::room_expected(const live_request& of)
{
    const auto usual = std::max<duration>(this->work(of).expected(0.5), soon / 2);
    const double part = 0.5 + uniform(this->hooks.random);
    return std::chrono::duration_cast<duration>(usual * part);
}

} // namespace azureshore::balance
