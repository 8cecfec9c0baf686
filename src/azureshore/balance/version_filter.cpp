#include "azureshore/balance/version_filter.hpp"

#include <algorithm>

namespace azureshore::balance {

namespace {

// Bounds the burst of sends after a time in which no server of the target version could take any.
constexpr double max_allowance = 4;

} // namespace

void version_filter::set_rule(const service_id& service, const version_rule& rule)
{
    auto& current = this->entries[service];
    if (current.rule.target != rule.target) {
        current.allowance = 0;
    }
    current.rule = rule;
}

void version_filter::remove_rule(const service_id& service)
{
    this->entries.erase(service);
}

const version_rule* version_filter::find(const service_id& service) const
{
    const auto found = this->entries.find(service);
    return found == this->entries.end() ? nullptr : &found->second.rule;
}

void version_filter::add_request(const service_id& service)
{
    if (const auto found = this->entries.find(service); found != this->entries.end()) {
        auto& current = found->second;
        current.allowance = std::min(current.allowance + current.rule.share, max_allowance);
    }
}

bool version_filter::try_take(const service_id& service)
{
    const auto found = this->entries.find(service);
    if (found == this->entries.end() || found->second.rule.use != version_use::share ||
        found->second.allowance < 1) {
        return false;
    }
    found->second.allowance -= 1;
    return true;
}

void version_filter::give_back(const service_id& service)
{
    if (const auto found = this->entries.find(service); found != this->entries.end()) {
        found->second.allowance = std::min(found->second.allowance + 1, max_allowance);
    }
}

} // namespace azureshore::balance
