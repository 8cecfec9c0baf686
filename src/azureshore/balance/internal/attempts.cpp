#include "azureshore/balance/internal/dispatch_terms.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

// A second send is considered when an answer is this many times later than expected, and once
// more later on.
constexpr double first_lateness = 1.8;
constexpr double second_lateness = 3.5;
constexpr duration least_lateness = std::chrono::milliseconds(20);
// Weights of failures against that of a lost connection.
constexpr double error_weight = 0.5;
constexpr double full_weight = 0.3;

} // namespace

void dispatcher::state::send(live_request& of, const found_backend& to)
{
    const auto now = this->now();
    auto* known = this->book.find(to.backend);
    // Since it was probed, the backend server may have left, and others may have used the budget.
    const bool in_budget = of.attempts == 0 || this->may_try_again(of);
    if (!in_budget || known == nullptr || !this->book.may_send(now, *known, this->traits(of)) ||
        !this->book.take_cold(now, *known, this->traits(of))) {
        this->release(to);
        if (!of.running.empty()) {
            return;
        }
        if (in_budget) {
            this->wait_for_room(of);
        }
        else {
            this->refuse(of, this->without_answer(of));
        }
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
    if (!of.queue_time) {
        of.queue_time = now - of.in.arrived;
    }
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
    const auto patience = of.in.caller_timeout.value_or(unknown_patience);
    const auto left = of.in.arrived + std::min(patience, of.on->timeout) - now;
    this->hooks.send(
        {attempt, of.in.number, to.backend, known->registered.endpoint, to.probe, left});
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
        this->try_again(*of);
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
    if (!of->on->idempotent || this->suspected.condemned(now, of->in.fingerprint)) {
        this->refuse(*of, this->without_answer(*of));
        return;
    }
    this->try_again(*of);
}

void dispatcher::state::answered(live_request& of, attempt_number attempt,
                                 const running_attempt& ended, const attempt_result& result)
{
    const auto took = this->now() - ended.sent;
    of.backend_time = took;
    if (result.status < first_server_error) {
        this->work(of).learn(took, ended.cost);
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
void dispatcher::state::try_again(live_request& of)
{
    if (!of.running.empty() || of.search || of.queued) {
        return;
    }
    if (this->may_try_again(of) && this->now() + this->work(of).expected(1.0) < of.deadline) {
        this->start_search(of, false);
        return;
    }
    this->refuse(of, this->without_answer(of));
}

} // namespace azureshore::balance
