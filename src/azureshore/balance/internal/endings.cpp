#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azureshore::balance {

namespace {

// Limits the length of a log line.
constexpr std::size_t max_logged_path = 100;
// A cancelled attempt counts as late from this multiple of the expected response time on.
constexpr double late_response_factor = 1.8;

} // namespace

void dispatcher::state::handle_deadline(request_number number)
{
    auto* request = this->find_request(number);
    if (request == nullptr) {
        return;
    }
    if (request->is_not_run()) {
        this->refuse(*request, {refusal_cause::overloaded, status_unavailable, std::nullopt});
        return;
    }
    this->refuse(*request, {refusal_cause::timed_out, status_gateway_timeout, std::nullopt});
}

void dispatcher::state::caller_gone(request_number number)
{
    this->held_requests.erase(number);
    if (auto* request = this->find_request(number)) {
        this->log("caller_gone", *request, {});
        this->finish(*request);
    }
}

void dispatcher::state::deliver(in_flight_request& request, attempt_number attempt)
{
    ++this->counts.answered;
    const auto number = request.incoming.number;
    this->log("answer", request, {{"attempt", std::to_string(attempt.value)}});
    this->report_completion(request, "answered", request.backend_time);
    this->finish(request);
    this->hooks.deliver(number, attempt);
}

// Delivers an answer of a backend server that did not state that the request has not run. Its
// status may promise that all the same. The caller of a request that may not be repeated would then
// send it again, so it is told that the outcome is unknown.
void dispatcher::state::deliver_or_refuse(in_flight_request& request, attempt_number attempt,
                                          int status)
{
    if (!request.matched_route->idempotent && promises_not_run(status)) {
        this->refuse(request, this->refusal_after_attempts(request),
                     {{"backend_status", std::to_string(status)}});
        return;
    }
    this->deliver(request, attempt);
}

// Returns the refusal of a request that was sent without success and is not sent again.
refusal dispatcher::state::refusal_after_attempts(const in_flight_request& request)
{
    if (!request.is_not_run()) {
        return {refusal_cause::outcome_unknown, status_bad_gateway, std::nullopt};
    }
    return {refusal_cause::attempts_exhausted, status_unavailable, this->retry_delay(request)};
}

void dispatcher::state::refuse(in_flight_request& request, refusal answer,
                               std::vector<observe::decision_field> inputs)
{
    if (request.fallback_attempt) {
        this->deliver(request, *request.fallback_attempt);
        return;
    }
    if (!request.is_not_run() && promises_not_run(answer.status)) {
        answer.status = status_bad_gateway;
        answer.retry_after.reset();
    }
    ++this->counts.refused;
    const auto number = request.incoming.number;
    std::vector<observe::decision_field> fields{
        {"cause", std::string(to_string(answer.cause))},
        {"status", std::to_string(answer.status)},
        {"attempts", std::to_string(request.attempts)},
        {"may_have_run", request.is_not_run() ? "false" : "true"},
        {"waiting", std::to_string(this->service(request.service).queue.size())},
        {"usual_ms", format_decimal(to_milliseconds(this->response_time_of(request).expected(1)))},
        {"left_ms", format_decimal(to_milliseconds(request.deadline - this->now()))},
        {"priority", std::to_string(request.priority)}};
    fields.insert(fields.end(), std::make_move_iterator(inputs.begin()),
                  std::make_move_iterator(inputs.end()));
    this->log("refuse", request, std::move(fields));
    this->report_completion(request, to_string(answer.cause), std::nullopt);
    this->finish(request);
    this->hooks.refuse(number, answer);
}

void dispatcher::state::report_completion(const in_flight_request& request,
                                          std::string_view outcome,
                                          std::optional<duration> backend_time)
{
    if (this->hooks.completed) {
        this->hooks.completed({request.service, request.matched_route->idempotent, outcome,
                               this->now() - request.incoming.arrived, request.queue_time,
                               backend_time, request.account});
    }
}

void dispatcher::state::refuse_unadmitted(const incoming_request& incoming, refusal answer)
{
    ++this->counts.refused;
    if (this->hooks.decided) {
        this->hooks.decided(
            {"refuse",
             {{"request", incoming.id},
              {"cause", std::string(to_string(answer.cause))},
              {"status", std::to_string(answer.status)},
              {"host", incoming.host},
              {"path", incoming.path.substr(0, max_logged_path)},
              {"version",
               std::to_string(this->configuration ? this->configuration->version : 0)}}});
    }
    this->hooks.refuse(incoming.number, answer);
}

void dispatcher::state::finish(in_flight_request& request)
{
    this->remove_from_queue(request);
    this->cancel_search(request);
    const auto running = request.running_attempts;
    if (request.charged_account && request.attempts == 0) {
        this->return_quota(*request.charged_account, request.charged_at);
    }
    if (auto& target = this->service(request.service); target.queue.empty()) {
        target.overload.set_waiting(this->now(), false);
    }
    for (const auto attempt : running) {
        // An attempt that is cancelled early shows nothing of its version's response times.
        const auto found = this->attempts.find(attempt);
        if (found != this->attempts.end() &&
            this->now() - found->second.sent_at >=
                this->response_time_of(request).expected(late_response_factor)) {
            this->observe_attempt(request, found->second, false);
        }
    }
    this->requests.erase(request.incoming.number);
    for (const auto attempt : running) {
        const auto found = this->attempts.find(attempt);
        if (found == this->attempts.end()) {
            continue;
        }
        if (auto* backend = this->backends.find(found->second.backend);
            backend != nullptr && backend->in_flight > 0) {
            --backend->in_flight;
        }
        this->attempts.erase(found);
        this->hooks.cancel(attempt);
    }
}

void dispatcher::state::log(std::string_view event, const in_flight_request& request,
                            std::vector<observe::decision_field> fields)
{
    if (!this->hooks.decided) {
        return;
    }
    observe::decision decision{
        event, {{"request", request.incoming.id}, {"route", request.matched_route->name}}};
    decision.fields.push_back({"service", request.service.value});
    if (request.account) {
        decision.fields.push_back({"account", request.account->value});
    }
    decision.fields.push_back({"version", std::to_string(request.configuration->version)});
    decision.fields.push_back(
        {"age_ms", format_decimal(to_milliseconds(this->now() - request.incoming.arrived))});
    for (auto& each : fields) {
        decision.fields.push_back(std::move(each));
    }
    this->hooks.decided(decision);
}

// Capacity is expected after about half the response time of such a request. The delay has random
// jitter, so that callers do not all retry at once.
duration dispatcher::state::retry_delay(const in_flight_request& request)
{
    const auto expected_delay =
        std::max<duration>(this->response_time_of(request).expected(0.5), short_retry_delay / 2);
    const double jitter = 0.5 + uniform(this->hooks.random);
    return std::chrono::duration_cast<duration>(expected_delay * jitter);
}

} // namespace azureshore::balance
