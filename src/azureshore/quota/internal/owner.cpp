#include "azureshore/quota/internal/owner.hpp"

#include <cmath>

namespace azureshore::quota::detail {

namespace {

// A process that did not run for this long may have been declared gone.
constexpr duration longest_gap = std::chrono::seconds(2);
// Daemons refused by an owner ask again at this interval after each other, and not later than the
// limit.
constexpr duration refusal_spacing = std::chrono::milliseconds(16);
constexpr duration min_retry = std::chrono::milliseconds(20);
constexpr duration max_retry = std::chrono::seconds(2);
// When to ask an owner again that does not grant tokens yet.
constexpr duration not_ready_retry = std::chrono::milliseconds(200);
// Below this share of the daemons, an owner counts as cut off.
constexpr double least_contact = 1e-6;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void owner::own(time_point now, const account_id& account, const bucket_size& size,
                time_point fills_from)
{
    const auto [found, added] = this->buckets.try_emplace(account);
    auto& changed = found->second;
    if (added) {
        changed.filled_at = fills_from;
    }
    else {
        this->fill(now, changed);
    }
    changed.size = size;
    changed.level = std::min(changed.level, size.capacity);
}

void owner::disown(const account_id& account)
{
    this->buckets.erase(account);
}

void owner::set_contact(time_point now, double share)
{
    for (auto& [account, each] : this->buckets) {
        this->fill(now, each);
    }
    this->contact = share;
}

void owner::fill(time_point now, bucket& filled) const
{
    if (now <= filled.filled_at) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(now - filled.filled_at).count();
    const auto capacity = std::max(1.0, filled.size.capacity * this->contact);
    filled.level = std::min(capacity, filled.level + filled.size.rate * this->contact * seconds);
    filled.filled_at = now;
}

duration owner::next_retry(time_point now, bucket& empty, double rate)
{
    constexpr double longest = std::chrono::duration<double>(max_retry).count();
    const auto missing = to_duration(std::min(longest, std::max(0.0, 1 - empty.level) / rate));
    const auto at = std::max(now + missing, empty.next_slot);
    empty.next_slot = std::max(now, empty.next_slot) + refusal_spacing;
    return std::clamp<duration>(at - now, min_retry, max_retry);
}

wire::quota_grant owner::answer(time_point now, const wire::quota_ask& ask)
{
    this->tick(now);
    wire::quota_grant made{ask.account, ask.ticket};
    const auto found = this->buckets.find(ask.account);
    if (found == this->buckets.end() || this->contact < least_contact ||
        now < found->second.filled_at) {
        made.retry_after = not_ready_retry;
        return made;
    }
    auto& from = found->second;
    made.owned = true;
    this->fill(now, from);
    const auto wanted = std::uint64_t{ask.needed} + ask.expected;
    const auto present = static_cast<std::uint64_t>(std::floor(from.level));
    made.granted = static_cast<std::uint32_t>(std::min(wanted, present));
    from.level -= made.granted;
    this->issued += made.granted;
    if (made.granted < ask.needed) {
        made.retry_after = next_retry(now, from, from.size.rate * this->contact);
    }
    return made;
}

void owner::tick(time_point now)
{
    if (this->ticked_at && now - *this->ticked_at > longest_gap) {
        ++this->pause_count;
        this->start_over(now);
    }
    this->ticked_at = now;
}

void owner::start_over(time_point now)
{
    for (auto& [account, each] : this->buckets) {
        each.level = 0;
        each.filled_at = now + settle_time;
    }
}

} // namespace azureshore::quota::detail
