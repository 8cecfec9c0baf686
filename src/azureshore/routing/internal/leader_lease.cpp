#include "azureshore/routing/internal/leader_lease.hpp"

#include "azureshore/routing/internal/timing.hpp"

#include <algorithm>

namespace azureshore::routing::detail {

namespace {

constexpr std::size_t max_tracked_rounds = 4;

// Returns the smallest number of VMs that is more than three fifths of the voters.
std::size_t quorum_of(std::size_t voters)
{
    return voters * 3 / 5 + 1;
}

} // namespace

std::uint64_t leader_lease::start_round(time_point now, std::size_t voters)
{
    // Round numbers are based on the clock, so that a restarted VM does not count answers to claims
    // from before its restart.
    const auto clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
    this->last_round = std::max(this->last_round + 1, clock);
    this->last_claim_at = now;
    this->rounds.push_back({this->last_round, now, quorum_of(voters), {}});
    if (this->rounds.size() > max_tracked_rounds) {
        this->rounds.pop_front();
    }
    return this->last_round;
}

void leader_lease::record_support(time_point now, std::uint64_t number, const vm_id& voter,
                                  std::uint64_t epoch)
{
    for (auto& round : this->rounds) {
        if (round.number != number || !round.supporters.emplace(voter, epoch).second) {
            continue;
        }
        if (round.supporters.size() >= round.quorum) {
            this->extend(now, round);
        }
    }
}

void leader_lease::extend(time_point now, const round_state& round)
{
    const auto lease_end = round.sent + support_duration;
    if (lease_end <= now) {
        return;
    }
    if (!this->held(now) && !this->continues_last_lease(round)) {
        this->became_sole_leader_at = now;
        this->supporter_epochs.clear();
    }
    for (const auto& [voter, epoch] : round.supporters) {
        this->supporter_epochs[voter] = epoch;
    }
    this->held_until = std::max(this->held_until, lease_end);
}

bool leader_lease::continues_last_lease(const round_state& round) const
{
    std::size_t unchanged = 0;
    for (const auto& [voter, epoch] : round.supporters) {
        const auto before = this->supporter_epochs.find(voter);
        unchanged += before != this->supporter_epochs.end() && before->second == epoch ? 1 : 0;
    }
    return unchanged >= round.quorum;
}

void leader_support::started(time_point now)
{
    this->supported_until = now + support_duration;
}

leader_support::answer leader_support::handle_claim(time_point now, const vm_id& claimant)
{
    const bool same = this->leader == claimant;
    if (!same && now < this->supported_until) {
        return {false, this->epoch};
    }
    if (!same) {
        this->leader = claimant;
        ++this->epoch;
    }
    this->supported_until = now + support_duration;
    return {true, this->epoch};
}

} // namespace azureshore::routing::detail
