#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace azureshore::quota {

// Estimates the share of a deployment's daemons that one of them is in contact with. When links
// between daemons are cut, the shares of the parts add up to one at most, as a daemon that can't be
// heard is remembered for much longer than a cut is expected to last.
class contact_tracker {
public:
    // Takes the names of the other daemons that serve, and of those that said that they leave.
    void set_members(time_point now, const std::vector<vm_id>& serving,
                     const std::vector<vm_id>& leaving);

    // Takes note of a message of another daemon.
    void heard(time_point now) { this->heard_at = now; }

    // Takes the number of daemons that are in contact, including this one, as counted at a time.
    void reported(std::uint64_t daemons, time_point at);

    // Returns the share, from 0 to 1. One if no other daemon is known.
    [[nodiscard]] double share(time_point now);

    // Returns whether another daemon has been known within the time for which they are remembered.
    [[nodiscard]] bool knows_others() const { return !this->last_serving.empty(); }

private:
    struct dated_share {
        time_point at;
        double share = 1;
    };

    [[nodiscard]] double current_share(time_point now) const;

    std::optional<time_point> started_at;
    std::map<vm_id, time_point> last_serving;
    std::vector<vm_id> serving;
    time_point heard_at{};
    std::uint64_t daemons = 0;
    std::optional<time_point> reported_at;
    // The latest shares, the oldest first.
    std::deque<dated_share> recent;
};

} // namespace azureshore::quota
