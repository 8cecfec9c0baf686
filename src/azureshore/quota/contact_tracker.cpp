#include "azureshore/quota/contact_tracker.hpp"

#include <algorithm>

namespace azureshore::quota {

namespace {

// Daemons that were declared gone may still serve behind a cut link for this long.
constexpr duration memory = std::chrono::minutes(10);
// The count of a deployment that starts is complete after some rounds of news.
constexpr duration start_time = std::chrono::seconds(5);
// A daemon that heard nothing for this long counts as cut off from all others.
constexpr duration longest_silence = std::chrono::milliseconds(2500);
// A new reader's first counts are too low, so the highest one of this time holds.
constexpr duration held_time = std::chrono::milliseconds(1500);

} // namespace

void contact_tracker::set_members(time_point now, const std::vector<vm_id>& now_serving,
                                  const std::vector<vm_id>& leaving)
{
    if (!this->started_at) {
        this->started_at = now;
        this->heard_at = now;
    }
    // Those that served until now are remembered from now on.
    for (const auto& each : this->serving) {
        this->last_serving[each] = now;
    }
    this->serving = now_serving;
    for (const auto& each : this->serving) {
        this->last_serving[each] = now;
    }
    for (const auto& each : leaving) {
        this->last_serving.erase(each);
    }
    std::erase_if(this->last_serving,
                  [now](const auto& each) { return each.second + memory < now; });
}

void contact_tracker::reported(std::uint64_t count, time_point at)
{
    this->daemons = count;
    this->reported_at = at;
}

double contact_tracker::current_share(time_point now) const
{
    const auto lapsed =
        std::count_if(this->last_serving.begin(), this->last_serving.end(), [&](const auto& each) {
            return each.second + memory < now &&
                   std::find(this->serving.begin(), this->serving.end(), each.first) ==
                       this->serving.end();
        });
    const auto total =
        static_cast<double>(this->last_serving.size() - static_cast<std::size_t>(lapsed) + 1);
    if (!this->started_at || now < *this->started_at + start_time) {
        return 1;
    }
    if (now > this->heard_at + longest_silence) {
        return 1 / total;
    }
    // Without a store there are no counts, and the last one holds.
    return this->reported_at ? std::min(1.0, static_cast<double>(this->daemons) / total) : 1;
}

double contact_tracker::share(time_point now)
{
    this->recent.push_back({now, this->current_share(now)});
    while (this->recent.front().at + held_time < now) {
        this->recent.pop_front();
    }
    return std::max_element(
               this->recent.begin(), this->recent.end(),
               [](const auto& left, const auto& right) { return left.share < right.share; })
        ->share;
}

} // namespace azureshore::quota
