#include "azureshore/balance/internal/dispatch_constants.hpp"
#include "azureshore/balance/internal/dispatcher_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::balance {

namespace {

// After a start, those who keep the quotas may not know yet that they do. A request that is refused
// then would meet the same at another daemon that has just started too.
constexpr duration start_phase = std::chrono::seconds(2);
// How long a request waits for its quota in that phase, and how often it asks.
constexpr duration max_quota_wait = std::chrono::milliseconds(1500);
constexpr duration quota_retry_interval = std::chrono::milliseconds(100);

} // namespace

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
}

// Finds the account of a request by its key in the configuration in force. Returns false if the
// request needs an account and has none. A request on an exempt route keeps its account if its key
// is known.
bool dispatcher::state::authorize(in_flight_request& request)
{
    if (!this->accounts.has_accounts()) {
        request.account.reset();
        request.priority = request.matched_route->priority;
        return true;
    }
    const auto* found = this->accounts.find(request.incoming.account_key);
    if (found == nullptr) {
        request.account.reset();
        return request.matched_route->authentication_exempt;
    }
    request.account = found->name;
    request.priority = found->priority.value_or(request.matched_route->priority);
    return true;
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
    if (this->may_await_quota(*request)) {
        this->hooks.after(quota_retry_interval, [this, number] {
            if (auto* waiting = this->find_request(number)) {
                this->request_quota(*waiting);
            }
        });
        return;
    }
    this->refuse(*request, {refusal_cause::quota_unavailable, status_unavailable,
                            answer.retry_after.value_or(short_retry_delay)});
}

bool dispatcher::state::may_await_quota(const in_flight_request& request) const
{
    const auto now = this->hooks.clock();
    const auto caller_timeout = request.incoming.caller_timeout.value_or(default_caller_timeout);
    return !this->stop && this->ready_at && now < *this->ready_at + start_phase &&
           now + quota_retry_interval <
               request.incoming.arrived + std::min<duration>(max_quota_wait, caller_timeout / 2);
}

void dispatcher::state::return_quota(const account_id& account, time_point granted_at)
{
    if (this->hooks.return_quota) {
        this->hooks.return_quota(account, granted_at);
    }
}

} // namespace azureshore::balance
