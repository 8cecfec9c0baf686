#include "azureshore/outcomes/internal/engine_state.hpp"

#include <algorithm>
#include <variant>

namespace azureshore::outcomes {

namespace {

// How long an announcement reserves the trial of a suspected request for the announcing VM.
constexpr duration exclusive_trial_time = std::chrono::seconds(1);

// Interval at which held requests are evaluated again.
constexpr duration held_retry_interval = std::chrono::milliseconds(20);

} // namespace

void request_engine::state::open_attempt(time_point now, request_state& request)
{
    switch (this->suspects.evaluate(now, request.fingerprint)) {
    case detail::suspect_verdict::run:
        this->held_requests.erase(request.incoming.number);
        request.phase = request_phase::attempting;
        this->acquire_permit(request, false);
        break;
    case detail::suspect_verdict::run_as_trial:
        this->held_requests.erase(request.incoming.number);
        request.phase = request_phase::attempting;
        this->suspects.trial_started(request.fingerprint, {});
        this->broadcast_suspicion(request.fingerprint, exclusive_trial_time, {});
        this->acquire_permit(request, true);
        break;
    case detail::suspect_verdict::announce:
        this->broadcast_suspicion(request.fingerprint, exclusive_trial_time, {});
        [[fallthrough]];
    case detail::suspect_verdict::hold:
        request.phase = request_phase::held;
        this->next_held_retry = std::min(this->next_held_retry, now + held_retry_interval);
        if (this->held_requests.insert(request.incoming.number).second) {
            this->log_event("hold", request, std::nullopt);
        }
        break;
    case detail::suspect_verdict::refuse:
        this->refuse(now, request, refusal_cause::suspected_of_crashing);
        break;
    }
}

void request_engine::state::retry_held_requests(time_point now)
{
    this->next_held_retry = time_point::max();
    const auto numbers = this->held_requests;
    for (const auto& number : numbers) {
        if (auto* request = this->find(number)) {
            this->open_attempt(now, *request);
        }
    }
}

void request_engine::state::handle_backend_death(time_point now, request_state& request,
                                                 const live_attempt& attempt)
{
    const auto deaths =
        this->suspects.record_death(now, request.fingerprint, attempt.backend, attempt.started);
    this->log_event("suspect", request, attempt.number,
                    {{"backend", attempt.backend.value}, {"deaths", std::to_string(deaths)}});
    // The report reserves no time: a trial on this VM sends its own announcement, and otherwise
    // another VM may run a trial at once.
    this->broadcast_suspicion(request.fingerprint, duration::zero(), attempt.backend);
}

void request_engine::state::clear_suspicion(const request_state& request)
{
    if (this->suspects.clear(request.fingerprint)) {
        this->log_event("clear_suspect", request, std::nullopt);
        this->hooks.send({}, wire::suspicion{this->service, request.fingerprint, 0, {}, {}});
        this->next_held_retry = this->call_time;
    }
}

duration request_engine::state::add_jitter(duration span) const
{
    // Without jitter, VMs that wait for the same time would start their trials together.
    return span + duration(static_cast<duration::rep>(uniform(this->random) *
                                                      static_cast<double>(span.count())));
}

void request_engine::state::broadcast_suspicion(std::uint64_t fingerprint, duration exclusive_time,
                                                const backend_id& backend)
{
    this->hooks.send({}, wire::suspicion{this->service, fingerprint,
                                         this->suspects.death_count(fingerprint), exclusive_time,
                                         backend});
}

void request_engine::state::receive(time_point now, const wire::message& body)
{
    this->call_time = now;
    if (const auto* report = std::get_if<wire::suspicion>(&body)) {
        this->suspects.merge_report(now, report->fingerprint, report->deaths, report->backend,
                                    this->add_jitter(report->time_left));
        this->next_held_retry = now;
    }
    else if (const auto* group = std::get_if<wire::run_group>(&body)) {
        this->ledger.receive(now, *group);
    }
}

} // namespace azureshore::outcomes
