#include "azureshore/outcomes/internal/engine_state.hpp"

#include "azureshore/core/hash.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::outcomes {

namespace {

// How long a cancelled attempt's report is awaited, to record how a keyed request ended.
constexpr duration report_grace = std::chrono::seconds(1);

std::string milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::uint64_t fingerprint_of(const request_content& content)
{
    const auto of_line = stable_hash(content.method + ' ' + content.target);
    return stable_hash(content.body, of_line);
}

} // namespace

request_engine::state::state(vm_id self_name, service_id service_name,
                             const random_source& random_numbers, engine_hooks engine_hooks)
    : ledger(self_name, service_name, random_numbers, this->hooks_for_ledger()),
      self(std::move(self_name)), service(std::move(service_name)), random(random_numbers),
      hooks(std::move(engine_hooks))
{
    this->configure(this->limits);
}

void request_engine::state::configure(const configuration::service_limits& new_limits)
{
    this->limits = new_limits;
    this->budget.set_ratio(new_limits.retry_ratio);
    this->ledger.remember_keys_for(this->key_lifetime());
}

void request_engine::state::begin(time_point now, const incoming_request& request)
{
    this->clock = now;
    if (this->stopping) {
        this->refuse_new(request, refusal_cause::shutting_down);
        return;
    }
    if (this->limits.require_key && !request.idempotent && request.key.empty()) {
        this->refuse_new(request, refusal_cause::key_missing);
        return;
    }
    const auto [at, fresh] = this->requests.try_emplace(request.number);
    if (!fresh) {
        return;
    }
    auto& taken = at->second;
    taken.request = request;
    taken.fingerprint = fingerprint_of(*request.content);
    const bool named = request.time_left > duration::zero();
    this->set_deadline(taken, now + (named ? request.time_left : this->limits.deadline));
    if (taken.keyed()) {
        this->begin_keyed(now, taken);
    }
    else {
        this->open_attempt(now, taken);
    }
}

void request_engine::state::caller_gone(time_point now, request_number number)
{
    this->clock = now;
    auto* of = this->find(number);
    if (of == nullptr || of->detached) {
        return;
    }
    this->note("caller_gone", *of, std::nullopt);
    of->detached = true;
    // A keyed request that runs goes on, so that its caller gets the outcome by asking again.
    if (!of->holds_key || !of->has_running()) {
        this->refuse(now, *of, refusal_cause::cancelled);
    }
}

void request_engine::state::tick(time_point now)
{
    this->clock = now;
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        this->deadline_due(now, this->requests.at(this->deadlines.begin()->second));
    }
    this->hedge_due(now);
    if (!this->held.empty() && now >= this->next_held_try) {
        this->try_held(now);
    }
}

void request_engine::state::deadline_due(time_point now, request_state& of)
{
    switch (of.phase) {
    case request_phase::awaiting_intent:
        this->refuse(now, of, refusal_cause::log_unavailable);
        break;
    case request_phase::awaiting_outcome:
        this->refuse(now, of, refusal_cause::key_in_progress);
        break;
    case request_phase::held:
        this->refuse(now, of, refusal_cause::suspected_of_crashing);
        break;
    case request_phase::trying:
        this->refuse(now, of, refusal_cause::deadline_passed);
        break;
    }
}

time_point request_engine::state::next_tick() const
{
    auto at = this->ledger.next_flush(this->clock);
    if (!this->deadlines.empty()) {
        at = std::min(at, this->deadlines.begin()->first);
    }
    if (!this->hedges.empty()) {
        at = std::min(at, this->hedges.begin()->first);
    }
    return this->held.empty() ? at : std::min(at, this->next_held_try);
}

void request_engine::state::end_call(time_point now)
{
    this->clock = now;
    this->ledger.flush(now);
}

void request_engine::state::answer(time_point now, request_state& of, const answer_content& content,
                                   std::optional<attempt_number> from)
{
    this->note("answer", of, from, {{"status", std::to_string(content.status)}});
    if (of.holds_key) {
        this->record_end(now, of, &content);
    }
    this->give_up_attempts(of);
    if (!of.detached) {
        this->hooks.answer(of.request.number, {content, std::nullopt});
    }
    this->forget(of);
}

void request_engine::state::refuse(time_point now, request_state& of, refusal_cause cause,
                                   std::optional<duration> retry_after)
{
    if (cause == refusal_cause::log_unavailable) {
        // An earlier sending of this key may have run, and the log can't be asked.
        of.key_unread = true;
    }
    const refusal said{cause, of.claim(), retry_after};
    if (!of.detached) {
        const bool not_run = said.claim == run_claim::not_run;
        std::vector<observe::decision_field> fields{{"cause", std::string(to_string(cause))},
                                                    {"claim", not_run ? "not_run" : "unknown"}};
        if (retry_after) {
            fields.push_back({"retry_after_ms", milliseconds(*retry_after)});
        }
        this->note("refuse", of, std::nullopt, std::move(fields));
        this->hooks.answer(of.request.number, {std::nullopt, said});
    }
    if (of.holds_key && of.has_running() && !of.cancelled) {
        this->detach(now, of);
        return;
    }
    if (of.holds_key) {
        this->record_end(now, of, nullptr);
    }
    this->give_up_attempts(of);
    this->forget(of);
}

void request_engine::state::detach(time_point now, request_state& of)
{
    of.detached = true;
    of.cancelled = true;
    for (const auto& each : of.attempts) {
        this->hooks.cancel(each.number);
    }
    this->set_deadline(of, now + report_grace);
}

void request_engine::state::refuse_new(const incoming_request& request, refusal_cause cause)
{
    // An earlier request with this key may have run.
    const auto key = detail::digest_of(request.key);
    const bool keyed = !request.idempotent && !request.key.empty();
    const bool free_key =
        this->ledger.ready(this->clock, key) && this->ledger.find(this->clock, key) == nullptr;
    const auto claim = keyed && !free_key ? run_claim::unknown : run_claim::not_run;
    const refusal said{cause, claim, std::nullopt};
    if (this->hooks.log) {
        this->hooks.log({"refuse",
                         {{"service", this->service.value},
                          {"request", std::to_string(request.number.value)},
                          {"cause", std::string(to_string(cause))},
                          {"claim", claim == run_claim::not_run ? "not_run" : "unknown"}}});
    }
    this->hooks.answer(request.number, {std::nullopt, said});
}

void request_engine::state::set_deadline(request_state& of, time_point at)
{
    this->deadlines.erase({of.deadline, of.request.number});
    of.deadline = at;
    this->deadlines.emplace(at, of.request.number);
}

void request_engine::state::forget(request_state& of)
{
    // The request's own number would dangle while it is erased.
    const auto number = of.request.number;
    this->deadlines.erase({of.deadline, number});
    this->held.erase(number);
    if (of.phase == request_phase::awaiting_intent) {
        this->intents.erase(of.intent.number);
        this->ledger.withdraw(this->clock, of.key, of.intent);
    }
    const auto waiters = this->waiting.find(of.key);
    if (of.phase == request_phase::awaiting_outcome && waiters != this->waiting.end()) {
        waiters->second.erase(number);
        if (waiters->second.empty()) {
            this->waiting.erase(waiters);
        }
    }
    this->requests.erase(number);
}

request_engine::state::request_state* request_engine::state::find(request_number number)
{
    const auto at = this->requests.find(number);
    return at == this->requests.end() ? nullptr : &at->second;
}

void request_engine::state::note(std::string_view event, const request_state& of,
                                 std::optional<attempt_number> attempt,
                                 std::vector<observe::decision_field> more)
{
    if (!this->hooks.log) {
        return;
    }
    std::vector<observe::decision_field> fields{
        {"service", this->service.value}, {"request", std::to_string(of.request.number.value)}};
    if (attempt) {
        fields.push_back({"attempt", std::to_string(attempt->value)});
    }
    fields.insert(fields.end(), std::make_move_iterator(more.begin()),
                  std::make_move_iterator(more.end()));
    this->hooks.log({event, std::move(fields)});
}

} // namespace azureshore::outcomes
