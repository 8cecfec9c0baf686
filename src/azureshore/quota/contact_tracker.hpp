#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"
#include "azureshore/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace azureshore::quota {

// Estimates the share of a deployment's daemons that one of them is in contact with, by pings to
// random ones, which those don't answer that take the sender for gone. When links between daemons
// are cut, the shares of the parts add up to about one, as a daemon that does not answer is
// remembered for much longer than a cut is expected to last.
class contact_tracker {
public:
    // How often next_pings is to be called.
    static constexpr duration ping_interval = std::chrono::milliseconds(250);

    struct ping {
        vm_id to;
        std::uint64_t number = 0;
    };

    // Takes the names of the other daemons that serve, of those that were declared gone, and of
    // those that said that they leave.
    void set_members(time_point now, const std::vector<vm_id>& serving,
                     const std::vector<vm_id>& gone, const std::vector<vm_id>& leaving);

    // Returns the pings to send now, including those that are repeated as no answer has come.
    std::vector<ping> next_pings(time_point now, const random_source& random);

    // Takes the answer to a ping.
    void answered(time_point now, std::uint64_t number);

    // Returns the share, from 0 to 1: a low estimate if not all pings were answered, one if no
    // other daemon is known.
    [[nodiscard]] double share(time_point now);

private:
    struct sample {
        ping sent;
        time_point sent_at;
        bool repeated = false;
        bool answered = false;
    };
    struct dated_share {
        time_point at;
        double share = 1;
    };

    void forget(time_point now);
    [[nodiscard]] double current_share(time_point now) const;

    // When each other daemon was last known to serve.
    std::map<vm_id, time_point> last_serving;
    std::vector<vm_id> serving;
    std::uint64_t last_number = 0;
    // The pings of the last seconds, the oldest first.
    std::deque<sample> samples;
    // The latest estimates, the oldest first.
    std::deque<dated_share> recent;
};

} // namespace azureshore::quota
