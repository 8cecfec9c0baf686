#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/membership/internal/peer_table.hpp"
#include "azureshore/membership/member_options.hpp"

#include <cstdint>
#include <optional>

namespace azureshore::membership::detail {

// A probe that has not been answered yet.
struct pending_probe {
    vm_id target;
    std::uint64_t sequence = 0;
    time_point relay_at;
    time_point deadline;
    bool relayed = false;
};

// Schedules probes. Targets alternate between a successor on the hash ring, so that each VM is
// probed at bounded intervals, and a random VM, so that gossip spreads fast.
class prober {
public:
    explicit prober(const member_options& initial_options) : options(initial_options) {}

    // Starts the next probe and returns it; null if there is no other VM.
    const pending_probe* start(time_point now, const peer_table& peers,
                               const random_source& random);

    // Completes the pending probe if `answered_sequence` is its number.
    void handle_answer(std::uint64_t answered_sequence);

    // Returns the pending probe once when it is due to be relayed; null otherwise.
    const pending_probe* take_due_relay(time_point now);

    // Returns the target of the pending probe and drops the probe if it has timed out.
    std::optional<vm_id> take_failed_target(time_point now);

    // Drops the pending probe without counting it as failed, and makes the next one due at `now`.
    void restart(time_point now);

    // Returns whether a dead VM that the platform still lists should be probed too. Must be called
    // once in each probe period.
    bool dead_probe_due();

    [[nodiscard]] bool probe_due(time_point now) const { return this->next_start <= now; }
    [[nodiscard]] time_point next_deadline() const;
    [[nodiscard]] bool started() const { return this->next_start != time_point::max(); }

private:
    vm_id choose_target(const peer_table& peers, const random_source& random);

    member_options options;
    time_point next_start = time_point::max();
    std::uint64_t sequence = 0;
    std::size_t probe_count = 0;
    std::size_t successor_probe_count = 0;
    std::size_t periods_until_dead_probe = 0;
    std::optional<pending_probe> pending;
};

} // namespace azureshore::membership::detail
