#include "azureshore/configuration/internal/snapshot_timer.hpp"

#include <algorithm>

namespace azureshore::configuration::detail {

void snapshot_timer::seen(std::optional<time_point> when, std::uint64_t covers)
{
    this->covered = std::max(this->covered, covers);
    if (when) {
        this->last = std::max(this->last.value_or(*when), *when);
        this->turn.reset();
    }
}

bool snapshot_timer::needed(time_point now, std::uint64_t folded) const
{
    return !this->last || now - *this->last >= this->settings.snapshot_interval ||
           folded >= this->covered + this->settings.snapshot_records ||
           this->log_first > this->covered;
}

bool snapshot_timer::due(time_point now, std::uint64_t folded, const random_source& random)
{
    if (now < this->retry_at) {
        return false;
    }
    if (!this->needed(now, folded)) {
        this->turn.reset();
        return false;
    }
    if (!this->turn) {
        // A VM that knows no age waits longer, because its peers are about to tell it.
        const auto spread = static_cast<double>(this->settings.snapshot_spread.count());
        const auto wait = (uniform(random) + (this->last ? 0 : 1)) * spread;
        this->turn = now + duration(static_cast<duration::rep>(wait));
    }
    return now >= *this->turn;
}

void snapshot_timer::begun(time_point now, std::uint64_t append_id, std::uint64_t next_offset)
{
    this->append = append_id;
    this->append_covers = next_offset;
    // An append that never ends is as good as one that failed.
    this->retry_at = now + this->settings.append_retry;
    this->turn.reset();
}

void snapshot_timer::ended(time_point now, std::uint64_t append_id, bool accepted)
{
    if (append_id != this->append) {
        return;
    }
    if (accepted) {
        this->seen(now, this->append_covers);
    }
    else {
        this->retry_at = now + this->settings.append_retry;
    }
}

time_point snapshot_timer::next(time_point now) const
{
    if (this->turn) {
        return std::max(*this->turn, this->retry_at);
    }
    const auto due = this->last ? *this->last + this->settings.snapshot_interval : now;
    return std::max(due, this->retry_at);
}

std::optional<duration> snapshot_timer::age(time_point now) const
{
    return this->last ? std::optional(now - *this->last) : std::nullopt;
}

} // namespace azureshore::configuration::detail
