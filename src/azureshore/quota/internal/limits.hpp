#pragma once

#include "azureshore/quota/quota.hpp"

#include <algorithm>

namespace azureshore::quota::detail {

// What an owner's bucket holds at most, and how many tokens it gets in a second.
struct bucket_size {
    double capacity = 1;
    double rate = 0;
};

// How the permitted overshoot is divided. With o for the overshoot and W for the window, tokens
// live for at most 0.4 o W, buckets are filled 1 + 0.4 o times as fast as the quota says, since
// some tokens expire unused, and hold 0.1 o W seconds of the rate beyond the burst. Together that
// is less than o as long as o is at most one half; see docs/design/quota.md.
constexpr double max_overshoot = 0.5;
constexpr double lease_part = 0.4;
constexpr double rate_part = 0.4;
constexpr double burst_part = 0.5;
constexpr double smoothing_part = 0.1;

inline double usable_overshoot(const quota_bounds& bounds)
{
    return std::clamp(bounds.overshoot, 0.0, max_overshoot);
}

// How long a token can be used after it was asked for.
inline duration token_lease(const quota_bounds& bounds)
{
    // A shorter lease would end before the answer arrives.
    constexpr duration shortest = std::chrono::milliseconds(50);
    constexpr duration longest = std::chrono::milliseconds(200);
    const auto lease =
        std::chrono::duration_cast<duration>(bounds.window * lease_part * usable_overshoot(bounds));
    return std::clamp(lease, shortest, longest);
}

// The size of the bucket of one owner that has this share of an account's quota. It holds one token
// at least, or an account with a low rate would never get one.
inline bucket_size size_of_bucket(const quota_bounds& bounds, double rate, double burst,
                                  double share)
{
    const auto overshoot = usable_overshoot(bounds);
    const auto window = std::chrono::duration<double>(bounds.window).count();
    const auto spare = std::min(1.0, bounds.slack / 4);
    const auto smoothing = rate * smoothing_part * overshoot * window;
    return {std::max(1.0, share * (burst * (1 + burst_part * overshoot) + smoothing) + spare),
            share * rate * (1 + rate_part * overshoot)};
}

} // namespace azureshore::quota::detail
