#include "azureshore/balance/internal/dispatch_terms.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

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
    this->measure(of, "answered", of.backend_time);
    this->end(of);
    this->hooks.deliver(request, attempt);
}

// The refusal of a request that was sent in vain and is not sent again.
refusal dispatcher::state::without_answer(const live_request& of)
{
    if (of.may_have_run) {
        return {refusal_cause::outcome_unknown, status_bad_gateway, std::nullopt};
    }
    return {refusal_cause::attempts_exhausted, status_unavailable, this->room_expected(of)};
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
    this->measure(of, to_string(why.cause), std::nullopt);
    this->end(of);
    this->hooks.refuse(request, why);
}

void dispatcher::state::measure(const live_request& of, std::string_view outcome,
                                std::optional<duration> backend_time)
{
    if (this->hooks.completed) {
        this->hooks.completed({of.service, of.on->idempotent, outcome, this->now() - of.in.arrived,
                               of.queue_time, backend_time});
    }
}

void dispatcher::state::refuse_new(const incoming_request& request, refusal why)
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
