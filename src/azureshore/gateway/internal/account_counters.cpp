#include "azureshore/gateway/internal/account_counters.hpp"

#include "azureshore/observe/metrics.hpp"

namespace azureshore::gateway::detail {

void account_counters::configure(const balance::traffic_configuration& in_force)
{
    const auto& accounts = in_force.listed_accounts();
    this->listed = in_force.accounts ? std::optional(accounts.size()) : std::nullopt;
    this->quotas.clear();
    for (const auto& each : accounts) {
        if (each.rate > 0 && this->quotas.size() < max_accounts) {
            this->quotas[each.name.value] = {each.rate, each.burst};
        }
    }
}

void account_counters::ended(const balance::completed_request& request)
{
    if (!request.account) {
        return;
    }
    auto name = request.account->value;
    if (!this->counts.contains(name) && this->counts.size() >= max_accounts) {
        name = other_accounts;
    }
    ++this->counts[name][request.outcome];
}

void account_counters::write(std::string& out) const
{
    observe::metrics made;
    if (this->listed) {
        made.set("azureshore_accounts_listed", {}, static_cast<double>(*this->listed));
    }
    for (const auto& [account, each] : this->quotas) {
        made.set("azureshore_account_quota_rate", {{"account", account}}, each.rate);
        made.set("azureshore_account_quota_burst", {{"account", account}}, each.burst);
    }
    for (const auto& [account, outcomes] : this->counts) {
        for (const auto& [outcome, count] : outcomes) {
            made.add("azureshore_account_requests_total",
                     {{"account", account}, {"outcome", std::string(outcome)}}, count);
        }
    }
    out += made.to_text();
}

} // namespace azureshore::gateway::detail
