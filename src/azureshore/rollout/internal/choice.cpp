#include "azureshore/rollout/internal/rollout_record.hpp"

#include <algorithm>

namespace azureshore::rollout::detail {

namespace {

// The responses of the target version that are enough to move the requests early, and at the
// latest time.
constexpr std::uint64_t early_on_each_route = 20;
constexpr std::uint64_t early_together = 200;
constexpr std::uint64_t late_on_each_route = 5;
constexpr std::uint64_t late_together = 40;
// Time for the write to the store and a repetition of it.
constexpr duration write_margin = std::chrono::seconds(2);

} // namespace

duration settling_time(const settings& bounds)
{
    return bounds.spread_within + bounds.longest_request;
}

// A version may turn bad late, so half of the time is used even if it seems good before.
schedule schedule_of(const order& given, const settings& bounds)
{
    schedule times;
    times.latest_move = std::max<duration>(given.time_limit - settling_time(bounds) - write_margin,
                                           given.time_limit / 3);
    times.earliest_move = std::min<duration>(given.time_limit / 2, times.latest_move);
    return times;
}

reasoned_choice choose(const rollout_record& record, const service_counts& servers, duration age,
                       const settings& bounds)
{
    const auto& evidence = record.evidence;
    if (const auto found = evidence.found()) {
        return {choice::roll_back, found->kind};
    }
    if (record.phase != wire::rollout_phase::running) {
        return {};
    }
    if (servers.target > 0 && servers.other == 0) {
        return {choice::move, "no_other_version"};
    }
    const auto times = schedule_of(record.given, bounds);
    const bool enough = servers.target > 0 && !evidence.is_suspicious() &&
                        evidence.has_judged(early_on_each_route, early_together);
    if (enough && age >= times.earliest_move) {
        return {choice::move, "as_good"};
    }
    if (age < times.latest_move) {
        return {};
    }
    if (servers.target == 0) {
        return {choice::roll_back, "no_server"};
    }
    if (evidence.is_suspicious()) {
        return {choice::roll_back, "suspicious"};
    }
    // Of servers that are cold for long, failures are all that can be compared.
    if (evidence.has_counted(late_on_each_route, late_together)) {
        return {choice::move, "as_good"};
    }
    return {choice::roll_back, "too_little_evidence"};
}

} // namespace azureshore::rollout::detail
