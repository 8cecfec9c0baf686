#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>

namespace azureshore::routing::detail {

// The lease that a leader holds while more than three fifths of the VMs on its member list support
// it. No other leader with a nearly correct list can reach a quorum at the same time. Grants on
// cold backend servers and probes require the lease.
class leader_lease {
public:
    // Starts a round of claims among `voters` VMs and returns its number.
    std::uint64_t start_round(time_point now, std::size_t voters);

    // Records one VM's support for a round. The VM's epoch is unchanged if it has supported no
    // other leader in between.
    void record_support(time_point now, std::uint64_t round, const vm_id& voter,
                        std::uint64_t epoch);

    // Whether a quorum of VMs supports this leader now.
    [[nodiscard]] bool held(time_point now) const { return now < this->held_until; }

    // Returns the time since when no other leader can have held the lease. Only valid while the
    // lease is held.
    [[nodiscard]] time_point sole_leader_since() const { return this->became_sole_leader_at; }

    [[nodiscard]] time_point last_claim() const { return this->last_claim_at; }

private:
    struct round_state {
        std::uint64_t number = 0;
        time_point sent;
        std::size_t quorum = 0;
        std::map<vm_id, std::uint64_t> supporters;
    };

    void extend(time_point now, const round_state& round);
    [[nodiscard]] bool continues_last_lease(const round_state& round) const;

    std::deque<round_state> rounds;
    // Each supporter's epoch when the lease was last extended.
    std::map<vm_id, std::uint64_t> supporter_epochs;
    std::uint64_t last_round = 0;
    time_point last_claim_at;
    time_point held_until;
    time_point became_sole_leader_at;
};

// The support that a VM gives to leaders of a pool, one at a time.
class leader_support {
public:
    struct answer {
        bool supported = false;
        std::uint64_t epoch = 0;
    };

    explicit leader_support(std::uint64_t first_epoch) : epoch(first_epoch) {}

    // Must be called at the start: the VM may have supported a leader before a restart, so it
    // supports none until that support has expired.
    void started(time_point now);

    answer handle_claim(time_point now, const vm_id& claimant);

private:
    vm_id leader;
    time_point supported_until;
    std::uint64_t epoch;
};

} // namespace azureshore::routing::detail
