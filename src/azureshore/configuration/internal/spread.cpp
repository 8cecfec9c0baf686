#include "azureshore/configuration/internal/spread.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::configuration::detail {

spread::spread(const replica_settings& rules, random_source source)
    : settings(rules), random(std::move(source))
{
}

std::vector<vm_id> spread::choose(std::size_t count) const
{
    auto left = this->peers;
    count = std::min(count, left.size());
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(left[i], left[i + uniform_index(this->random, left.size() - i)]);
    }
    left.resize(count);
    return left;
}

void spread::news(time_point now)
{
    this->rounds_left = this->settings.notice_rounds;
    this->notice_at = now + this->settings.notice_interval;
}

void spread::heard(time_point now, const vm_id& peer, std::uint64_t next_offset,
                   std::uint64_t folded)
{
    if (next_offset <= std::max(folded, this->known)) {
        return;
    }
    this->known = next_offset;
    this->known_by = peer;
    this->pull_at = std::min(this->pull_at, now + this->settings.pull_delay);
}

void spread::set_lacking(time_point now, bool lacks)
{
    if (lacks && !this->lacking) {
        this->pull_at = now;
    }
    this->lacking = lacks;
}

std::vector<vm_id> spread::notices_due(time_point now)
{
    if (now < this->notice_at) {
        return {};
    }
    const bool in_rounds = this->rounds_left > 0;
    this->rounds_left -= in_rounds ? 1 : 0;
    this->notice_at = now + (this->rounds_left > 0 ? this->settings.notice_interval
                                                   : this->settings.idle_notice_interval);
    return this->choose(in_rounds ? this->settings.fanout : 1);
}

std::vector<vm_id> spread::pulls_due(time_point now, std::uint64_t folded, bool ready)
{
    if (ready && folded >= this->known && !this->lacking) {
        this->pull_at = time_point::max();
        return {};
    }
    if (now < this->pull_at) {
        return {};
    }
    this->pull_at = now + this->settings.pull_interval;
    // The one who said so is asked first, then others in case it is gone.
    if (!this->known_by.empty()) {
        return {std::exchange(this->known_by, vm_id{})};
    }
    return this->choose(this->settings.pull_peers);
}

time_point spread::next() const
{
    return std::min(this->notice_at, this->pull_at);
}

} // namespace azureshore::configuration::detail
