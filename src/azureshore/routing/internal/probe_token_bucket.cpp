#include "azureshore/routing/internal/probe_token_bucket.hpp"

#include <algorithm>

namespace azureshore::routing::detail {

namespace {

// Maximum number of tokens.
constexpr double bucket_size = 2;

} // namespace

void probe_token_bucket::set_rate(double tokens_per_second)
{
    this->rate = std::max(0.0, tokens_per_second);
}

void probe_token_bucket::refill(time_point now, std::optional<time_point> sole_leader_since)
{
    this->sole_leader = sole_leader_since.has_value();
    if (!this->sole_leader) {
        this->tokens = 0;
        return;
    }
    if (*sole_leader_since > this->refilled_at) {
        this->tokens = 0;
        this->refilled_at = *sole_leader_since;
    }
    const std::chrono::duration<double> elapsed = now - this->refilled_at;
    this->tokens = std::min(bucket_size, this->tokens + this->rate * elapsed.count());
    this->refilled_at = now;
}

bool probe_token_bucket::try_take()
{
    if (!this->sole_leader || this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

} // namespace azureshore::routing::detail
