#include "azureshore/balance/dispatcher.hpp"

#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <utility>

namespace azureshore::balance {

std::string_view to_string(refusal_cause cause)
{
    switch (cause) {
    case refusal_cause::no_configuration:
        return "no_configuration";
    case refusal_cause::no_route:
        return "no_route";
    case refusal_cause::no_current_route:
        return "no_current_route";
    case refusal_cause::no_backend:
        return "no_backend";
    case refusal_cause::overloaded:
        return "overloaded";
    case refusal_cause::attempts_exhausted:
        return "attempts_exhausted";
    case refusal_cause::outcome_unknown:
        return "outcome_unknown";
    case refusal_cause::timed_out:
        return "timed_out";
    case refusal_cause::suspect_request:
        return "suspect_request";
    case refusal_cause::stopping:
        return "stopping";
    case refusal_cause::unknown_key:
        return "unknown_key";
    case refusal_cause::no_current_key:
        return "no_current_key";
    case refusal_cause::unusable_account:
        return "unusable_account";
    case refusal_cause::quota_exceeded:
        return "quota_exceeded";
    case refusal_cause::quota_unavailable:
        return "quota_unavailable";
    }
    return "";
}

dispatcher::dispatcher(data_centre_id self, shared_bounds bounds, dispatcher_hooks hooks)
    : inner(std::make_unique<state>(std::move(self), bounds, std::move(hooks)))
{
}

dispatcher::~dispatcher() = default;

bool dispatcher::configure(std::shared_ptr<const traffic_configuration> next)
{
    return this->inner->configure(std::move(next));
}

std::shared_ptr<const traffic_configuration> dispatcher::configuration() const
{
    return this->inner->configuration;
}

void dispatcher::backends_listed()
{
    this->inner->backends_listed();
}

void dispatcher::backend_changed(const registration& updated)
{
    this->inner->backends.update(this->inner->hooks.clock(), updated);
}

void dispatcher::backend_removed(const backend_id& id)
{
    this->inner->backends.remove(id);
}

void dispatcher::set_out_of_service(std::set<data_centre_id> data_centres)
{
    this->inner->backends.set_out_of_service(std::move(data_centres));
}

void dispatcher::set_version_rule(const service_id& service, const version_rule& rule)
{
    this->inner->backends.versions.set_rule(service, rule);
}

void dispatcher::remove_version_rule(const service_id& service)
{
    this->inner->backends.versions.remove_rule(service);
}

void dispatcher::set_observer(std::function<void(const attempt_observation&)> observer)
{
    this->inner->hooks.observed = std::move(observer);
}

version_counts dispatcher::count_versions(const service_id& service,
                                          const std::string& target) const
{
    return this->inner->backends.count_versions(service, target);
}

void dispatcher::set_bounds(const shared_bounds& bounds)
{
    this->inner->set_bounds(bounds);
}

void dispatcher::set_restarted()
{
    this->inner->set_restarted();
}

void dispatcher::set_fleet(std::size_t daemons,
                           std::function<double(const backend_id&)> cold_rate_share)
{
    this->inner->daemons = daemons;
    this->inner->backends.set_cold_rate_share(std::move(cold_rate_share));
}

void dispatcher::set_total_rate_source(std::function<double()> total)
{
    this->inner->total_rate = std::move(total);
}

void dispatcher::set_quota_source(
    std::function<void(const account_id&, std::function<void(const quota_answer&)>)> take,
    std::function<void(const account_id&, time_point granted_at)> give_back)
{
    this->inner->hooks.take_quota = std::move(take);
    this->inner->hooks.return_quota = std::move(give_back);
}

void dispatcher::set_configuration_check(std::function<bool()> is_latest)
{
    this->inner->is_latest_configuration = std::move(is_latest);
}

double dispatcher::request_rate() const
{
    return this->inner->request_rate();
}

void dispatcher::suspect(std::uint64_t fingerprint)
{
    this->inner->crashes.record_crash(this->inner->hooks.clock(), fingerprint);
}

void dispatcher::begin(const incoming_request& request)
{
    this->inner->begin(request);
}

void dispatcher::caller_gone(request_number request)
{
    this->inner->caller_gone(request);
}

void dispatcher::probe_ended(probe_number probe, const std::optional<probe_result>& result)
{
    this->inner->probe_ended(probe, result);
}

void dispatcher::attempt_ended(attempt_number attempt, const attempt_result& result)
{
    this->inner->attempt_ended(attempt, result);
}

void dispatcher::begin_stop(const planned_stop& plan)
{
    this->inner->stop = plan;
}

void dispatcher::end_stop()
{
    this->inner->end_stop();
}

std::size_t dispatcher::in_flight() const
{
    return this->inner->requests.size() + this->inner->held_requests.size();
}

dispatcher_counts dispatcher::counts() const
{
    return this->inner->counts;
}

} // namespace azureshore::balance
