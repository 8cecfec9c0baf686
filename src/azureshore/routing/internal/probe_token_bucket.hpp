#pragma once

#include "azureshore/core/time.hpp"

#include <optional>

namespace azureshore::routing::detail {

// Limits the rate of probes that a pool's leader sends. Tokens accrue only while this VM is the
// sole leader and are lost with the leadership, so all VMs together never send more probes than
// one token bucket of the same rate and size allows.
class probe_token_bucket {
public:
    void set_rate(double tokens_per_second);

    // Adds the tokens that have accrued since the last call. `sole_leader_since` is when this VM
    // became the sole leader; empty if it is not.
    void refill(time_point now, std::optional<time_point> sole_leader_since);

    // Takes a token; returns false if none is available.
    bool try_take();

private:
    double rate = 0;
    double tokens = 0;
    time_point refilled_at;
    bool sole_leader = false;
};

} // namespace azureshore::routing::detail
