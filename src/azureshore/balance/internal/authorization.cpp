#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <utility>

namespace azureshore::balance {

void dispatcher::state::index_accounts()
{
    this->accounts = account_directory(this->configuration);
    if (!this->hooks.decided) {
        return;
    }
    for (const auto& each : this->accounts.rejected_keys()) {
        this->hooks.decided({"account_key_rejected",
                             {{"account", each.account.value},
                              {"cause", std::string(to_string(each.problem))},
                              {"version", std::to_string(this->configuration->version)}}});
    }
    for (const auto& each : this->configuration->listed_accounts()) {
        if (const auto problem = problem_of(each); !problem.empty()) {
            this->hooks.decided({"account_unusable",
                                 {{"account", each.name.value},
                                  {"cause", problem},
                                  {"version", std::to_string(this->configuration->version)}}});
        }
    }
}

// Finds the account of a request by its key in the configuration in force. Returns a refusal if the
// request needs an account and has none that can be served. A request on an exempt route keeps its
// account if its key is known.
std::optional<refusal> dispatcher::state::authorize(in_flight_request& request)
{
    request.account.reset();
    request.priority = request.matched_route->priority;
    if (!this->accounts.requires_keys()) {
        return std::nullopt;
    }
    const bool exempt = request.matched_route->authentication_exempt;
    const auto* found = this->accounts.find(request.incoming.account_key);
    if (found == nullptr) {
        return exempt ? std::nullopt : std::optional(this->refusal_of_key());
    }
    if (!problem_of(*found).empty()) {
        return exempt ? std::nullopt
                      : std::optional(refusal{refusal_cause::unusable_account, status_unavailable,
                                              std::nullopt});
    }
    request.account = found->name;
    request.priority = found->priority.value_or(request.matched_route->priority);
    return std::nullopt;
}

// A key that this daemon does not know may have been added by a later configuration, so its
// refusal is only final if the configuration is the latest.
refusal dispatcher::state::refusal_of_key() const
{
    if (this->is_latest_configuration && !this->is_latest_configuration()) {
        return {refusal_cause::no_current_key, status_unavailable, short_retry_delay};
    }
    return {refusal_cause::unknown_key, status_unauthorized, std::nullopt};
}

void dispatcher::state::request_quota(in_flight_request& request)
{
    const auto* account = this->accounts.find(request.incoming.account_key);
    if (!this->hooks.take_quota || account == nullptr || account->rate <= 0) {
        this->start(request);
        return;
    }
    const auto name = account->name;
    const auto number = request.incoming.number;
    this->hooks.take_quota(name, [this, name, number](const quota_answer& answer) {
        this->handle_quota(name, number, answer);
    });
}

void dispatcher::state::handle_quota(const account_id& account, request_number number,
                                     const quota_answer& answer)
{
    const bool granted = answer.decision == quota_decision::granted;
    auto* request = this->find_request(number);
    if (request == nullptr) {
        if (granted) {
            this->return_quota(account, this->now());
        }
        return;
    }
    if (granted) {
        request->charged_account = account;
        request->charged_at = this->now();
        this->start(*request);
        return;
    }
    if (answer.decision == quota_decision::exceeded) {
        this->refuse(*request,
                     {refusal_cause::quota_exceeded, status_too_many_requests, answer.retry_after});
        return;
    }
    this->refuse(*request, {refusal_cause::quota_unavailable, status_unavailable,
                            answer.retry_after.value_or(short_retry_delay)});
}

void dispatcher::state::return_quota(const account_id& account, time_point granted_at)
{
    if (this->hooks.return_quota) {
        this->hooks.return_quota(account, granted_at);
    }
}

} // namespace azureshore::balance
