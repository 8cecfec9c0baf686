#include "azureshore/quota/contact_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace azureshore::quota {

namespace {

// Daemons that were declared gone may still serve behind a cut link for this long.
constexpr duration memory = std::chrono::minutes(10);
// Pings sent at each interval.
constexpr std::size_t pings_at_once = 3;
// A ping without an answer is sent once more, and then counts as not answered.
constexpr duration repeat_after = std::chrono::milliseconds(240);
constexpr duration answer_timeout = std::chrono::milliseconds(500);
// The time over which pings are counted.
constexpr duration window = std::chrono::milliseconds(3500);
// With fewer pings, the estimate would be too coarse.
constexpr std::size_t least_samples = 12;
// The estimate is lower than the share of pings answered by this many standard deviations.
constexpr double margin = 1.5;
// An estimate rises this much later. When a cut ends, the daemons hear from each other before they
// know again who owns which quota.
constexpr duration rise_delay = std::chrono::seconds(3);

} // namespace

void contact_tracker::set_members(time_point now, const std::vector<vm_id>& now_serving,
                                  const std::vector<vm_id>& gone, const std::vector<vm_id>& leaving)
{
    // Another daemon may have declared it gone before this one started.
    for (const auto& each : gone) {
        this->last_serving.try_emplace(each, now);
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
    this->forget(now);
}

void contact_tracker::forget(time_point now)
{
    for (const auto& each : this->serving) {
        this->last_serving[each] = now;
    }
    std::erase_if(this->last_serving,
                  [now](const auto& each) { return each.second + memory < now; });
    while (!this->samples.empty() && this->samples.front().sent_at + window < now) {
        this->samples.pop_front();
    }
}

std::vector<contact_tracker::ping> contact_tracker::next_pings(time_point now,
                                                               const random_source& random)
{
    this->forget(now);
    std::vector<ping> pings;
    for (auto& each : this->samples) {
        if (!each.answered && !each.repeated && now >= each.sent_at + repeat_after) {
            each.repeated = true;
            pings.push_back(each.sent);
        }
    }
    for (std::size_t i = 0; i < pings_at_once && !this->last_serving.empty(); ++i) {
        auto chosen = this->last_serving.begin();
        std::advance(chosen,
                     static_cast<std::ptrdiff_t>(uniform_index(random, this->last_serving.size())));
        this->samples.push_back({{chosen->first, ++this->last_number}, now});
        pings.push_back(this->samples.back().sent);
    }
    return pings;
}

void contact_tracker::answered(time_point now, std::uint64_t number)
{
    for (auto& each : this->samples) {
        if (each.sent.number == number && now < each.sent_at + answer_timeout) {
            each.answered = true;
        }
    }
}

double contact_tracker::current_share(time_point now) const
{
    std::size_t judged = 0;
    std::size_t answers = 0;
    for (const auto& each : this->samples) {
        const bool counts = each.answered || each.sent_at + answer_timeout <= now;
        judged += counts ? 1 : 0;
        answers += each.answered ? 1 : 0;
    }
    if (judged < least_samples || this->last_serving.empty()) {
        return 1;
    }
    const auto count = static_cast<double>(judged);
    const auto mean = static_cast<double>(answers) / count;
    const auto others = std::max(0.0, mean - margin * std::sqrt(mean * (1 - mean) / count));
    const auto known = static_cast<double>(this->last_serving.size());
    return (1 + others * known) / (1 + known);
}

double contact_tracker::share(time_point now)
{
    this->forget(now);
    this->recent.push_back({now, this->current_share(now)});
    while (this->recent.front().at + rise_delay < now) {
        this->recent.pop_front();
    }
    return std::min_element(
               this->recent.begin(), this->recent.end(),
               [](const auto& left, const auto& right) { return left.share < right.share; })
        ->share;
}

} // namespace azureshore::quota
