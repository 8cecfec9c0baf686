#include "azureshore/outcomes/request_engine.hpp"

#include "azureshore/outcomes/internal/engine_state.hpp"

namespace azureshore::outcomes {

request_engine::request_engine(vm_id self, service_id service, const random_source& random,
                               engine_hooks hooks)
    : impl(std::make_unique<state>(std::move(self), std::move(service), random, std::move(hooks)))
{
}

request_engine::~request_engine() = default;

void request_engine::configure(time_point /*now*/, const configuration::service_limits& limits)
{
    this->impl->configure(limits);
}

void request_engine::configure_run_once(time_point /*now*/, const run_once_limits& limits)
{
    this->impl->configure_run_once(limits);
}

void request_engine::update_vms(time_point now, std::vector<vm_id> live)
{
    this->impl->ledger.update_vms(std::move(live));
    this->impl->end_call(now);
}

void request_engine::begin(time_point now, const incoming_request& request)
{
    this->impl->begin(now, request);
    this->impl->end_call(now);
}

void request_engine::caller_gone(time_point now, request_number request)
{
    this->impl->caller_gone(now, request);
    this->impl->end_call(now);
}

void request_engine::permit_granted(time_point now, attempt_number attempt,
                                    const backend_id& backend, const address& endpoint)
{
    this->impl->permit_granted(now, attempt, backend, endpoint);
    this->impl->end_call(now);
}

void request_engine::permit_refused(time_point now, attempt_number attempt,
                                    wire::refusal_reason reason, duration retry_after)
{
    this->impl->permit_refused(now, attempt, reason, retry_after);
    this->impl->end_call(now);
}

void request_engine::attempt_ended(time_point now, const attempt_report& report)
{
    this->impl->attempt_ended(now, report);
    this->impl->end_call(now);
}

void request_engine::append_ended(time_point now, std::uint64_t append_id,
                                  const platform::append_result& result)
{
    this->impl->append_ended(now, append_id, result);
    this->impl->end_call(now);
}

void request_engine::log_read(time_point now, const std::string& stream,
                              const platform::read_result& result)
{
    this->impl->log_read(now, stream, result);
    this->impl->end_call(now);
}

std::vector<std::pair<std::string, std::uint64_t>> request_engine::streams() const
{
    return this->impl->ledger.streams();
}

void request_engine::receive(time_point now, const vm_id& /*from*/, const wire::message& body)
{
    this->impl->receive(now, body);
    this->impl->end_call(now);
}

void request_engine::stop(time_point /*now*/)
{
    this->impl->stop();
}

std::size_t request_engine::in_flight() const
{
    return this->impl->in_flight();
}

bool request_engine::settled() const
{
    return this->impl->ledger.settled();
}

void request_engine::tick(time_point now)
{
    this->impl->tick(now);
    this->impl->end_call(now);
}

time_point request_engine::next_tick() const
{
    return this->impl->next_tick();
}

} // namespace azureshore::outcomes
