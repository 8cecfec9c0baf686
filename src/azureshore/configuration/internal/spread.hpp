#pragma once

#include "azureshore/configuration/replica.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace azureshore::configuration::detail {

// Decides to whom to tell what, and whom to ask, and when.
class spread {
public:
    spread(const replica_settings& rules, random_source source);

    void update_peers(std::vector<vm_id> all) { this->peers = std::move(all); }

    // Up to `count` different peers by chance.
    std::vector<vm_id> choose(std::size_t count) const;

    // A new revision is known here: tell it in rounds.
    void news(time_point now);

    // A peer has folded all records below `next_offset`, of which this VM has `folded`.
    void heard(time_point now, const vm_id& peer, std::uint64_t next_offset, std::uint64_t folded);

    // Whether the log has lost records that this VM lacks: only peers or a snapshot can help then.
    void set_lacking(time_point now, bool lacks);

    // Peers to send a notice to now.
    std::vector<vm_id> notices_due(time_point now);

    // Peers to pull from now; none when nothing is known to be missing.
    std::vector<vm_id> pulls_due(time_point now, std::uint64_t folded, bool ready);

    [[nodiscard]] time_point next() const;

private:
    const replica_settings& settings;
    random_source random;
    std::vector<vm_id> peers;
    std::size_t rounds_left = 0;
    time_point notice_at;
    // The most that any peer is known to have folded, and who said so, until it is asked.
    std::uint64_t known = 0;
    vm_id known_by;
    bool lacking = false;
    time_point pull_at;
};

} // namespace azureshore::configuration::detail
