#include "azureshore/routing/internal/leader_selector.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::routing::detail {

void leader_selector::set_order(std::vector<vm_id> order)
{
    this->candidates = std::move(order);
    const auto unknown = [this](const auto& each) {
        return std::find(this->candidates.begin(), this->candidates.end(), each.first) ==
               this->candidates.end();
    };
    std::erase_if(this->contacted_at, unknown);
    std::erase_if(this->suspected_until, unknown);
}

void leader_selector::record_contact(time_point now, const vm_id& vm)
{
    this->contacted_at[vm] = now;
}

time_point leader_selector::last_contact(const vm_id& vm) const
{
    const auto found = this->contacted_at.find(vm);
    return found == this->contacted_at.end() ? time_point{} : found->second;
}

void leader_selector::suspect(time_point now, const vm_id& leader)
{
    this->suspected_until[leader] = now + suspicion_duration;
}

vm_id leader_selector::current(time_point now) const
{
    for (const auto& name : this->candidates) {
        const auto suspected = this->suspected_until.find(name);
        if (suspected == this->suspected_until.end() || now >= suspected->second) {
            return name;
        }
    }
    return this->candidates.empty() ? vm_id{} : this->candidates.front();
}

} // namespace azureshore::routing::detail
