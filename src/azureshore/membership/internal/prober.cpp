#include "azureshore/membership/internal/prober.hpp"

#include <algorithm>

namespace azureshore::membership::detail {

const pending_probe* prober::start(time_point now, const peer_table& peers,
                                   const random_source& random)
{
    // Jitter keeps VMs that start together from probing in step.
    constexpr double jitter_ratio = 0.1;
    const auto jitter = std::chrono::duration_cast<duration>(
        this->options.probe_period * jitter_ratio * (uniform(random) - 0.5));
    this->next_start = now + this->options.probe_period + jitter;
    if (peers.not_dead().empty()) {
        this->pending.reset();
        return nullptr;
    }
    pending_probe next;
    next.target = this->choose_target(peers, random);
    next.sequence = ++this->sequence;
    next.relay_at = now + this->options.probe_timeout;
    next.deadline = this->next_start;
    this->pending = std::move(next);
    return &*this->pending;
}

vm_id prober::choose_target(const peer_table& peers, const random_source& random)
{
    const bool choose_random = this->probe_count++ % 2 == 1;
    if (choose_random) {
        return peers.not_dead().pick(random);
    }
    return *peers.successor(this->successor_probe_count++ % this->options.successor_count);
}

void prober::handle_answer(std::uint64_t answered_sequence)
{
    if (this->pending && this->pending->sequence == answered_sequence) {
        this->pending.reset();
    }
}

const pending_probe* prober::take_due_relay(time_point now)
{
    if (!this->pending || this->pending->relayed || this->pending->relay_at > now) {
        return nullptr;
    }
    this->pending->relayed = true;
    return &*this->pending;
}

std::optional<vm_id> prober::take_failed_target(time_point now)
{
    if (!this->pending || this->pending->deadline > now) {
        return std::nullopt;
    }
    const auto target = this->pending->target;
    this->pending.reset();
    return target;
}

void prober::restart(time_point now)
{
    this->pending.reset();
    this->next_start = now;
}

bool prober::dead_probe_due()
{
    if (this->periods_until_dead_probe > 0) {
        --this->periods_until_dead_probe;
        return false;
    }
    this->periods_until_dead_probe = this->options.dead_probe_interval_periods - 1;
    return true;
}

time_point prober::next_deadline() const
{
    if (!this->pending) {
        return this->next_start;
    }
    const auto probe_deadline =
        this->pending->relayed ? this->pending->deadline : this->pending->relay_at;
    return std::min(this->next_start, probe_deadline);
}

} // namespace azureshore::membership::detail
