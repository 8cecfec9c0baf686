#include "azureshore/outcomes/internal/engine_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes {

namespace {

refusal_cause refusal_cause_for(wire::refusal_reason reason)
{
    switch (reason) {
    case wire::refusal_reason::no_backend:
        return refusal_cause::no_backend;
    case wire::refusal_reason::unknown_service:
        return refusal_cause::unknown_service;
    case wire::refusal_reason::shutting_down:
        return refusal_cause::shutting_down;
    case wire::refusal_reason::overloaded:
    case wire::refusal_reason::deadline_too_close:
    case wire::refusal_reason::not_leader:
        return refusal_cause::overloaded;
    }
    return refusal_cause::overloaded;
}

// Returns whether the end of an attempt suggests that the backend server died.
bool indicates_backend_death(attempt_proof proof)
{
    return proof == attempt_proof::connection_lost || proof == attempt_proof::answer_cut;
}

// Returns the request's attempt with this number, which must exist.
detail::live_attempt& find_attempt(detail::request_state& request, attempt_number number)
{
    return *std::find_if(request.attempts.begin(), request.attempts.end(),
                         [&](const auto& each) { return each.number == number; });
}

} // namespace

request_engine::state::request_state*
request_engine::state::request_of_attempt(attempt_number number)
{
    const auto it = this->request_by_attempt.find(number);
    return it == this->request_by_attempt.end() ? nullptr : &this->requests.at(it->second);
}

attempt_number request_engine::state::next_attempt()
{
    if (this->hooks.next_attempt) {
        return this->hooks.next_attempt();
    }
    return {++this->last_attempt};
}

void request_engine::state::acquire_permit(request_state& request, bool trial)
{
    const auto number = this->next_attempt();
    request.attempts.push_back({number, false, trial, {}, {}});
    this->request_by_attempt.emplace(number, request.incoming.number);
    if (request.attempts_made++ == 0) {
        this->budget.record_first_attempt();
    }
    auto avoided_backends = request.tried_backends;
    if (trial) {
        const auto trial_backends = this->suspects.backends_on_trial();
        avoided_backends.insert(avoided_backends.end(), trial_backends.begin(),
                                trial_backends.end());
    }
    this->log_event(trial ? "acquire_trial" : "acquire", request, number);
    this->hooks.acquire(
        {number, request.deadline, request.incoming.caller, std::move(avoided_backends)});
}

void request_engine::state::permit_granted(time_point now, attempt_number number,
                                           const backend_id& backend, const address& endpoint)
{
    this->call_time = now;
    auto* request = this->request_of_attempt(number);
    if (request == nullptr) {
        this->hooks.release(number);
        return;
    }
    if (now >= request->deadline) {
        this->refuse(now, *request, refusal_cause::deadline_passed);
        return;
    }
    auto& attempt = find_attempt(*request, number);
    if (!attempt.running) {
        attempt.backend = backend;
        this->start_attempt(now, *request, attempt, endpoint);
    }
}

void request_engine::state::start_attempt(time_point now, request_state& request,
                                          live_attempt& attempt, const address& endpoint)
{
    attempt.running = true;
    attempt.started = now;
    request.tried_backends.push_back(attempt.backend);
    if (attempt.trial) {
        this->suspects.trial_started(request.fingerprint, attempt.backend);
    }
    this->schedule_hedge(now, request);
    this->log_event("start", request, attempt.number, {{"backend", attempt.backend.value}});
    this->hooks.start({attempt.number, request.incoming.number, attempt.backend, endpoint,
                       request.incoming.content, request.incoming.idempotent,
                       request.deadline - now, this->limits.max_body});
}

void request_engine::state::permit_refused(time_point now, attempt_number number,
                                           wire::refusal_reason reason, duration retry_after)
{
    this->call_time = now;
    auto* request = this->request_of_attempt(number);
    if (request == nullptr || find_attempt(*request, number).running) {
        return;
    }
    this->remove_attempt(*request, number);
    if (!request->attempts.empty()) {
        return;
    }
    const bool has_retry_after = retry_after > duration::zero();
    const auto cause =
        request->may_have_run ? refusal_cause::backend_failed : refusal_cause_for(reason);
    this->refuse(now, *request, cause, has_retry_after ? std::optional(retry_after) : std::nullopt);
}

void request_engine::state::attempt_ended(time_point now, const attempt_report& report)
{
    this->call_time = now;
    auto* request = this->request_of_attempt(report.attempt);
    if (request == nullptr) {
        return;
    }
    if (report.end == attempt_end::answered && report.answer) {
        this->handle_answer(now, *request, report);
    }
    else {
        this->handle_failure(now, *request, report);
    }
}

void request_engine::state::handle_answer(time_point now, request_state& request,
                                          const attempt_report& report)
{
    const auto attempt = this->remove_attempt(request, report.attempt);
    this->hedge_delay.add_latency(now - attempt.started);
    this->clear_suspicion(request);
    this->answer(now, request, *report.answer, report.attempt);
}

void request_engine::state::handle_failure(time_point now, request_state& request,
                                           const attempt_report& report)
{
    const auto attempt = this->remove_attempt(request, report.attempt);
    const bool proved_not_run = report.end == attempt_end::not_run;
    request.may_have_run = request.may_have_run || !proved_not_run;
    request.trial_failed = request.trial_failed || (attempt.trial && !proved_not_run);
    this->log_event("attempt_failed", request, report.attempt,
                    {{"end", std::string(to_string(report.end))},
                     {"proof", std::string(to_string(report.proof))}});
    if (!proved_not_run && attempt.running && indicates_backend_death(report.proof)) {
        this->handle_backend_death(now, request, attempt);
    }
    if (!request.attempts.empty()) {
        return;
    }
    if (request.trial_failed) {
        this->refuse(now, request, refusal_cause::suspected_of_crashing);
    }
    else if (this->may_retry(now, request) && this->budget.try_spend()) {
        this->open_attempt(now, request);
    }
    else {
        const bool late = now >= request.deadline;
        this->refuse(now, request,
                     late ? refusal_cause::deadline_passed : refusal_cause::backend_failed);
    }
}

bool request_engine::state::may_retry(time_point now, const request_state& request) const
{
    const bool safe_to_retry = request.incoming.idempotent || !request.may_have_run;
    return safe_to_retry && !request.detached &&
           request.attempts_made < this->limits.max_attempts && now < request.deadline;
}

void request_engine::state::schedule_hedge(time_point now, const request_state& request)
{
    const auto delay = this->hedge_delay.delay();
    const bool allowed =
        this->limits.hedge && request.incoming.idempotent && !request.hedged && delay;
    if (allowed && now + *delay < request.deadline) {
        this->hedges.emplace(now + *delay, request.incoming.number);
    }
}

void request_engine::state::start_due_hedges(time_point now)
{
    while (!this->hedges.empty() && this->hedges.begin()->first <= now) {
        auto* request = this->find(this->hedges.begin()->second);
        this->hedges.erase(this->hedges.begin());
        const bool eligible = request != nullptr && !request->hedged &&
                              request->attempts.size() == 1 && request->attempts[0].running &&
                              !request->attempts[0].trial && this->may_retry(now, *request) &&
                              this->suspects.death_count(request->fingerprint) == 0;
        if (eligible && this->budget.try_spend()) {
            request->hedged = true;
            this->log_event("hedge", *request, std::nullopt);
            this->acquire_permit(*request, false);
        }
    }
}

request_engine::state::live_attempt request_engine::state::remove_attempt(request_state& request,
                                                                          attempt_number number)
{
    auto removed = find_attempt(request, number);
    std::erase_if(request.attempts, [number](const auto& each) { return each.number == number; });
    this->request_by_attempt.erase(number);
    if (removed.trial) {
        this->suspects.trial_ended(request.fingerprint);
        this->next_held_retry = this->call_time;
    }
    return removed;
}

void request_engine::state::cancel_attempts(request_state& request)
{
    for (const auto& each : request.attempts) {
        this->request_by_attempt.erase(each.number);
        if (each.trial) {
            this->suspects.trial_ended(request.fingerprint);
            this->next_held_retry = this->call_time;
        }
        if (each.running && !request.attempts_cancelled) {
            this->hooks.cancel(each.number);
        }
        else if (!each.running) {
            this->hooks.release(each.number);
        }
    }
    request.attempts.clear();
}

} // namespace azureshore::outcomes
