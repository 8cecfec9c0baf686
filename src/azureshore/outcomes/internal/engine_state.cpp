#include "azureshore/outcomes/internal/engine_state.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes {

namespace {

// How long a keyed request waits for the reports of its cancelled attempts, to record its outcome.
constexpr duration cancelled_report_timeout = std::chrono::seconds(1);

std::string milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::uint64_t fingerprint_of(const request_content& content)
{
    const auto line_hash = stable_hash(content.method + ' ' + content.target);
    return stable_hash(content.body, line_hash);
}

} // namespace

request_engine::state::state(vm_id self_name, service_id service_name,
                             const random_source& random_numbers, engine_hooks engine_hooks)
    : ledger(self_name, service_name, random_numbers, this->make_ledger_hooks()),
      self(std::move(self_name)), service(std::move(service_name)), random(random_numbers),
      hooks(std::move(engine_hooks))
{
    this->configure(this->limits);
}

void request_engine::state::configure(const configuration::service_limits& new_limits)
{
    this->limits = new_limits;
    this->budget.set_ratio(new_limits.retry_ratio);
    this->ledger.set_key_lifetime(this->key_lifetime());
}

void request_engine::state::begin(time_point now, const incoming_request& incoming)
{
    this->call_time = now;
    if (this->stopping) {
        this->refuse_on_arrival(incoming, refusal_cause::shutting_down);
        return;
    }
    if (this->limits.require_key && !incoming.idempotent && incoming.key.empty()) {
        this->refuse_on_arrival(incoming, refusal_cause::key_missing);
        return;
    }
    const auto [it, inserted] = this->requests.try_emplace(incoming.number);
    if (!inserted) {
        return;
    }
    auto& request = it->second;
    request.incoming = incoming;
    request.fingerprint = fingerprint_of(*incoming.content);
    const bool has_timeout = incoming.time_left > duration::zero();
    this->set_deadline(request, now + (has_timeout ? incoming.time_left : this->limits.deadline));
    if (request.keyed()) {
        this->begin_keyed(now, request);
    }
    else {
        this->open_attempt(now, request);
    }
}

void request_engine::state::caller_gone(time_point now, request_number number)
{
    this->call_time = now;
    auto* request = this->find(number);
    if (request == nullptr || request->detached) {
        return;
    }
    this->log_event("caller_gone", *request, std::nullopt);
    request->detached = true;
    // A running keyed request continues, so that its caller gets the outcome by sending it again.
    if (!request->holds_key || !request->has_running_attempt()) {
        this->refuse(now, *request, refusal_cause::cancelled);
    }
}

void request_engine::state::tick(time_point now)
{
    this->call_time = now;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        this->handle_deadline(now, this->requests.at(this->deadlines.begin()->second));
    }
    this->start_due_hedges(now);
    if (!this->held_requests.empty() && now >= this->next_held_retry) {
        this->retry_held_requests(now);
    }
}

void request_engine::state::handle_deadline(time_point now, request_state& request)
{
    switch (request.phase) {
    case request_phase::awaiting_intent:
        this->refuse(now, request, refusal_cause::log_unavailable);
        break;
    case request_phase::awaiting_outcome:
        this->refuse(now, request, refusal_cause::key_in_progress);
        break;
    case request_phase::held:
        this->refuse(now, request, refusal_cause::suspected_of_crashing);
        break;
    case request_phase::attempting:
        this->refuse(now, request, refusal_cause::deadline_passed);
        break;
    }
}

time_point request_engine::state::next_tick() const
{
    auto earliest = this->ledger.next_flush(this->call_time);
    if (!this->deadlines.empty()) {
        earliest = std::min(earliest, this->deadlines.begin()->first);
    }
    if (!this->hedges.empty()) {
        earliest = std::min(earliest, this->hedges.begin()->first);
    }
    return this->held_requests.empty() ? earliest : std::min(earliest, this->next_held_retry);
}

void request_engine::state::end_call(time_point now)
{
    this->call_time = now;
    this->ledger.flush(now);
}

void request_engine::state::answer(time_point now, request_state& request,
                                   const answer_content& content,
                                   std::optional<attempt_number> attempt)
{
    this->log_event("answer", request, attempt, {{"status", std::to_string(content.status)}});
    if (request.holds_key) {
        this->record_outcome(now, request, &content);
    }
    this->cancel_attempts(request);
    if (!request.detached) {
        this->hooks.answer(request.incoming.number, {content, std::nullopt});
    }
    this->erase_request(request);
}

void request_engine::state::refuse(time_point now, request_state& request, refusal_cause cause,
                                   std::optional<duration> retry_after)
{
    if (cause == refusal_cause::log_unavailable) {
        // An earlier request with this key may have run, and the log cannot be read to find out.
        request.key_history_unread = true;
    }
    const refusal response{cause, request.claim(), retry_after};
    if (!request.detached) {
        const bool not_run = response.claim == run_claim::not_run;
        std::vector<observe::decision_field> fields{{"cause", std::string(to_string(cause))},
                                                    {"claim", not_run ? "not_run" : "unknown"}};
        if (retry_after) {
            fields.push_back({"retry_after_ms", milliseconds(*retry_after)});
        }
        this->log_event("refuse", request, std::nullopt, std::move(fields));
        this->hooks.answer(request.incoming.number, {std::nullopt, response});
    }
    if (request.holds_key && request.has_running_attempt() && !request.attempts_cancelled) {
        this->detach(now, request);
        return;
    }
    if (request.holds_key) {
        this->record_outcome(now, request, nullptr);
    }
    this->cancel_attempts(request);
    this->erase_request(request);
}

void request_engine::state::detach(time_point now, request_state& request)
{
    request.detached = true;
    request.attempts_cancelled = true;
    for (const auto& each : request.attempts) {
        this->hooks.cancel(each.number);
    }
    this->set_deadline(request, now + cancelled_report_timeout);
}

void request_engine::state::refuse_on_arrival(const incoming_request& request, refusal_cause cause)
{
    // Unless the key is known to be free, an earlier request with it may have run.
    const auto key = detail::digest_of(request.key);
    const bool keyed = !request.idempotent && !request.key.empty();
    const bool key_known_free = this->ledger.ready(this->call_time, key) &&
                                this->ledger.find(this->call_time, key) == nullptr;
    const auto claim = keyed && !key_known_free ? run_claim::unknown : run_claim::not_run;
    const refusal response{cause, claim, std::nullopt};
    if (this->hooks.log) {
        this->hooks.log({"refuse",
                         {{"service", this->service.value},
                          {"request", std::to_string(request.number.value)},
                          {"cause", std::string(to_string(cause))},
                          {"claim", claim == run_claim::not_run ? "not_run" : "unknown"}}});
    }
    this->hooks.answer(request.number, {std::nullopt, response});
}

void request_engine::state::set_deadline(request_state& request, time_point deadline)
{
    this->deadlines.erase({request.deadline, request.incoming.number});
    request.deadline = deadline;
    this->deadlines.emplace(deadline, request.incoming.number);
}

void request_engine::state::erase_request(request_state& request)
{
    // A copy, as the number is part of the request that is erased.
    const auto number = request.incoming.number;
    this->deadlines.erase({request.deadline, number});
    this->held_requests.erase(number);
    if (request.phase == request_phase::awaiting_intent) {
        this->request_by_intent.erase(request.intent.number);
        this->ledger.withdraw(this->call_time, request.key, request.intent);
    }
    const auto waiters = this->waiters_by_key.find(request.key);
    if (request.phase == request_phase::awaiting_outcome && waiters != this->waiters_by_key.end()) {
        waiters->second.erase(number);
        if (waiters->second.empty()) {
            this->waiters_by_key.erase(waiters);
        }
    }
    this->requests.erase(number);
}

request_engine::state::request_state* request_engine::state::find(request_number number)
{
    const auto it = this->requests.find(number);
    return it == this->requests.end() ? nullptr : &it->second;
}

void request_engine::state::log_event(std::string_view event, const request_state& request,
                                      std::optional<attempt_number> attempt,
                                      std::vector<observe::decision_field> more)
{
    if (!this->hooks.log) {
        return;
    }
    std::vector<observe::decision_field> fields{
        {"service", this->service.value},
        {"request", std::to_string(request.incoming.number.value)}};
    if (attempt) {
        fields.push_back({"attempt", std::to_string(attempt->value)});
    }
    fields.insert(fields.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
    this->hooks.log({event, std::move(fields)});
}

} // namespace azureshore::outcomes
