#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

// A second send is considered when an answer takes this multiple of the expected time, and once
// more at the second multiple.
constexpr double second_send_delay_factor = 1.8;
constexpr double last_check_delay_factor = 3.5;
constexpr duration min_second_send_delay = std::chrono::milliseconds(20);
// Weights of failures relative to an attempt with an unknown outcome.
constexpr double server_error_weight = 0.5;
constexpr double not_run_weight = 0.3;

} // namespace

void dispatcher::state::send(in_flight_request& request, const backend_choice& choice,
                             bool from_queue)
{
    const auto now = this->now();
    auto* backend = this->backends.find(choice.backend);
    // Since the probe, the backend server may have been removed or closed to requests, and other
    // requests may have used up the retry budget.
    const bool within_budget = request.attempts == 0 || this->may_retry(request);
    if (request.running_attempts.empty() && !this->ends_before_stop(request)) {
        this->release_connection(choice);
        this->refuse(request, this->refusal_while_stopping());
        return;
    }
    // The key may have been removed since the request was admitted.
    if (const auto not_authorized = this->authorize(request)) {
        this->release_connection(choice);
        this->end_exposure(request);
        if (request.running_attempts.empty()) {
            this->refuse(request, *not_authorized);
        }
        return;
    }
    if (!within_budget || backend == nullptr ||
        !this->backends.can_accept(now, *backend, this->traits(request)) ||
        !this->backends.permits_version(*backend, request.exposed) ||
        !this->backends.acquire_cold_send(now, *backend, this->traits(request))) {
        this->release_connection(choice);
        if (!request.running_attempts.empty()) {
            this->end_exposure(request);
            return;
        }
        if (within_budget) {
            this->enqueue_or_refuse(request);
        }
        else {
            this->refuse(request, this->refusal_after_attempts(request));
        }
        return;
    }
    const attempt_number attempt{++this->last_attempt};
    this->count_send(request, from_queue);
    request.exposed = false;
    request.exposure_failed = false;
    ++backend->in_flight;
    if (!request.queue_time) {
        request.queue_time = now - request.incoming.arrived;
    }
    request.running_attempts.insert(attempt);
    request.tried_backends.insert(choice.backend);
    this->attempts[attempt] = {
        request.incoming.number,     choice.backend,           now, choice.cost, choice.crowded,
        backend->registered.version, now < backend->cold_until};
    this->log("send", request,
              {{"attempt", std::to_string(attempt.value)},
               {"backend", choice.backend.value},
               {"cost", format_decimal(choice.cost)},
               {"asked", std::to_string(choice.probed_count)},
               {"own_in_flight", std::to_string(backend->in_flight - 1)},
               {"waiting", std::to_string(this->service(request.service).queue.size())},
               {"worth_rate",
                format_decimal(overload_policy::worth_rate(now, this->waiting_view(request)))},
               {"crowded", choice.crowded ? "true" : "false"},
               {"left_ms", format_decimal(to_milliseconds(request.deadline - now))}});
    if (request.matched_route->idempotent &&
        request.attempts < request.matched_route->max_attempts) {
        const auto delay = std::max<duration>(
            this->response_time_of(request).expected(choice.cost * second_send_delay_factor),
            min_second_send_delay);
        this->start_second_send_timer(request, attempt, delay, false);
    }
    const auto caller_timeout = request.incoming.caller_timeout.value_or(default_caller_timeout);
    const auto time_left =
        request.incoming.arrived + std::min(caller_timeout, request.matched_route->timeout) - now;
    this->hooks.send({attempt, request.incoming.number, choice.backend,
                      backend->registered.endpoint, choice.probe, time_left, request.account,
                      this->accounts.requires_keys()});
}

void dispatcher::state::count_send(in_flight_request& request, bool from_queue)
{
    const auto now = this->now();
    auto& target = this->service(request.service);
    ++request.attempts;
    ++this->counts.attempts;
    if (request.attempts > 1) {
        ++this->counts.second_sends;
        target.retries.add_retry(now);
        return;
    }
    target.overload.started(now, request.kind, from_queue);
    target.overload.add_wait(now, this->waiting_view(request),
                             now - request.queued_at.value_or(now));
    target.overload.set_waiting(now, !target.queue.empty());
    this->backends.versions.add_request(request.service);
}

void dispatcher::state::start_second_send_timer(const in_flight_request& request,
                                                attempt_number attempt, duration delay,
                                                bool final_check)
{
    this->hooks.after(delay, [this, number = request.incoming.number, attempt, final_check] {
        this->consider_second_send(number, attempt, final_check);
    });
}

// Called when an answer is late. An idempotent request goes to a second backend server while that
// can still meet the target latency, or at the final check, when the first seems not to answer.
void dispatcher::state::consider_second_send(request_number number, attempt_number attempt,
                                             bool final_check)
{
    auto* request = this->find_request(number);
    if (request == nullptr || !request->running_attempts.contains(attempt) ||
        request->running_attempts.size() > 1 || request->search || request->queued) {
        return;
    }
    const auto now = this->now();
    const auto& first = this->attempts.at(attempt);
    auto& estimate = this->response_time_of(*request);
    if (!this->service(request->service).queue.empty()) {
        // Requests that wait need the room more than this one a second attempt.
        const auto delay = std::max<duration>(estimate.expected(0.5), min_second_send_delay);
        this->start_second_send_timer(*request, attempt, delay, final_check);
        return;
    }
    const bool can_meet_target = now + estimate.expected(1.3) <
                                 request->incoming.arrived + request->matched_route->target_latency;
    if (!final_check && !can_meet_target) {
        const auto delay =
            first.sent_at + estimate.expected(first.cost * last_check_delay_factor) - now;
        this->start_second_send_timer(*request, attempt, std::max(delay, min_second_send_delay),
                                      true);
        return;
    }
    if (this->may_retry(*request) && now + estimate.expected(1.0) < request->deadline) {
        this->start_search(*request, true);
    }
}

bool dispatcher::state::may_retry(in_flight_request& request)
{
    return request.attempts < request.matched_route->max_attempts &&
           this->service(request.service).retries.allows(this->now(), this->daemons);
}

void dispatcher::state::attempt_ended(attempt_number attempt, const attempt_result& result)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end()) {
        return;
    }
    const auto ended_attempt = found->second;
    this->attempts.erase(found);
    const auto now = this->now();
    if (auto* backend = this->backends.find(ended_attempt.backend);
        backend != nullptr && backend->in_flight > 0) {
        --backend->in_flight;
    }
    if (result.load) {
        this->backends.record_load(now, ended_attempt.backend, *result.load);
    }
    auto* request = this->find_request(ended_attempt.request);
    if (request == nullptr) {
        return;
    }
    if (result.load && !this->service(request->service).queue.empty()) {
        this->hooks.after(duration::zero(),
                          [this, name = request->service] { this->process_queue(name); });
    }
    request->running_attempts.erase(attempt);
    this->log("attempt_ended", *request,
              {{"attempt", std::to_string(attempt.value)},
               {"backend", ended_attempt.backend.value},
               {"end", result.end == attempt_end::answered  ? "answered"
                       : result.end == attempt_end::not_run ? "not_run"
                       : result.answer_too_large            ? "answer_too_large"
                       : result.out_of_memory               ? "out_of_memory"
                                                            : "unknown"},
               {"status", std::to_string(result.status)},
               {"signed", result.is_signed ? "true" : "false"},
               {"ms", format_decimal(to_milliseconds(now - ended_attempt.sent_at))}});
    if (result.end != attempt_end::not_run) {
        this->observe_attempt(*request, ended_attempt,
                              result.end != attempt_end::answered ||
                                  result.status >= first_server_error);
    }
    if (result.end == attempt_end::answered) {
        this->handle_answer(*request, attempt, ended_attempt, result);
        return;
    }
    if (result.end == attempt_end::not_run) {
        this->backends.record_failure(now, ended_attempt.backend, not_run_weight);
        this->retry_or_refuse(*request);
        return;
    }
    request->may_have_run = true;
    if (!result.out_of_memory) {
        this->backends.record_failure(now, ended_attempt.backend, 1);
    }
    if (result.connection_lost) {
        this->crashes.record_crash(now, request->incoming.fingerprint);
        if (this->hooks.suspected) {
            this->hooks.suspected(request->incoming.fingerprint);
        }
    }
    if (!request->matched_route->idempotent ||
        this->crashes.is_blocked(now, request->incoming.fingerprint)) {
        this->refuse(*request, this->refusal_after_attempts(*request));
        return;
    }
    this->retry_or_refuse(*request);
}

void dispatcher::state::observe_attempt(const in_flight_request& request,
                                        const running_attempt& attempt, bool failed)
{
    if (this->hooks.observed && this->backends.versions.find(request.service) != nullptr) {
        this->hooks.observed({request.service, request.matched_route->name, attempt.version, failed,
                              attempt.cold, this->now() - attempt.sent_at});
    }
}

void dispatcher::state::handle_answer(in_flight_request& request, attempt_number attempt,
                                      const running_attempt& ended_attempt,
                                      const attempt_result& result)
{
    const auto response_time = this->now() - ended_attempt.sent_at;
    request.backend_time = response_time;
    request.may_have_run = true;
    if (result.status < first_server_error) {
        auto& estimate = this->response_time_of(request);
        this->service(request.service)
            .overload.add_response(std::chrono::duration<double>(response_time) /
                                       std::chrono::duration<double>(estimate.expected(1)),
                                   ended_attempt.crowded);
        estimate.add_sample(response_time, ended_attempt.cost);
        this->crashes.clear(request.incoming.fingerprint);
        this->deliver_or_refuse(request, attempt, result.status);
        return;
    }
    this->backends.record_failure(this->now(), ended_attempt.backend, server_error_weight);
    if (!request.matched_route->idempotent) {
        this->deliver_or_refuse(request, attempt, result.status);
        return;
    }
    request.fallback_attempt = attempt;
    if (!request.running_attempts.empty() || request.search) {
        return;
    }
    if (this->may_retry(request) &&
        this->now() + this->response_time_of(request).expected(1.0) < request.deadline) {
        this->start_search(request, true);
        return;
    }
    this->deliver(request, attempt);
}

// Searches for another backend server if a retry is allowed and can finish before the deadline, and
// refuses the request otherwise. Does nothing while an attempt or a search is in progress or the
// request is queued.
void dispatcher::state::retry_or_refuse(in_flight_request& request)
{
    if (!request.running_attempts.empty() || request.search || request.queued) {
        return;
    }
    if (this->may_retry(request) &&
        this->now() + this->response_time_of(request).expected(1.0) < request.deadline) {
        this->start_search(request, false);
        return;
    }
    this->refuse(request, this->refusal_after_attempts(request));
}

} // namespace azureshore::balance
