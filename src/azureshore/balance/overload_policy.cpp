#include "azureshore/balance/overload_policy.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace azureshore::balance {

namespace {

using seconds_f = std::chrono::duration<double>;

constexpr duration share_half_life = std::chrono::seconds(3);
// The part of the time that a request can wait and still meet its target, to which the waits are
// adjusted by taking fewer of the requests that are worth less for their work, and fewer of its own
// kind.
constexpr double wait_before_others = 0.07;
constexpr double wait_of_own_kind = 0.3;
// Change of the logarithm of the admitted share with each request.
constexpr double level_gain = 0.1;
constexpr double max_wait_excess = 3;
constexpr double min_level = 0.05;
// A kind is not reduced by its own waits while more than this share of a lesser kind is taken.
constexpr double max_lesser_share = 0.2;
constexpr duration min_patience = std::chrono::milliseconds(20);
// After this time without a request that was sent or had waited, the logarithm of the admitted
// share grows at this rate per second.
constexpr duration recovery_delay = std::chrono::seconds(1);
constexpr double level_recovery = 0.3;
// A shortage counts as over when no request has waited for this time. Requests that are refused on
// arrival never wait, so without it the refusals would go on by themselves.
constexpr duration shortage_memory = std::chrono::milliseconds(300);
// Requests of the most urgent kinds may take a crowded backend server once they have waited for
// this share of the time that they can wait, as long as they are the smaller part of the work.
constexpr double crowding_patience = 0.2;
constexpr double max_crowding_work = 0.4;
// Kinds beyond this number are counted as one.
constexpr std::size_t max_kinds = 64;
// Arrivals of a kind before its share is compared with others.
constexpr double min_arrivals = 4;
// A kind goes first when a less urgent one is served more often by this share.
// The longest time that callers wait is determined over one to two of these periods.
constexpr duration timeout_period = std::chrono::seconds(10);
constexpr double max_share_deficit = 0.03;
// Time during which requests waited lately, in seconds, for a shortage to be recognized.
constexpr double min_recent_wait = 0.01;
// Time during which requests waited before the rate of the queue counts as known.
constexpr double min_queue_seconds = 0.5;
// A request counts as hopeless if its expected wait is longer than the time left by this factor,
// since the rate of the queue varies.
constexpr double hopeless_factor = 1.5;
// Share of the expected response time that must be left until the deadline. Response times vary.
constexpr double min_remaining_share = 0.8;
// The expected response time is multiplied by this to tell whether the target can be met, since
// response times vary and backend servers are seldom idle under a shortage.
constexpr double target_margin = 1.2;
constexpr duration min_retry_after = std::chrono::milliseconds(50);
constexpr double crowded_share = 0.8;
constexpr std::size_t min_crowded_slots = 5;
constexpr double crowding_smoothing = 0.05;

double fast_slots(std::size_t slots)
{
    return std::max(std::floor(crowded_share * static_cast<double>(slots)), 1.0);
}

bool meets_target(time_point now, const waiting_request& request)
{
    const auto expected = std::chrono::duration_cast<duration>(request.work * target_margin);
    return now + expected <= request.target_at;
}

} // namespace

void decaying_sum::add(time_point now, double amount)
{
    this->sum = this->value(now) + amount;
    this->at = now;
}

double decaying_sum::value(time_point now) const
{
    return this->sum * std::exp2(-(seconds_f(now - this->at) / seconds_f(this->half_life)));
}

std::size_t overload_policy::arrived(time_point now, std::string_view route, std::uint32_t priority,
                                     duration work)
{
    auto found = std::find_if(this->kinds.begin(), this->kinds.end(), [&](const auto& each) {
        return each.priority == priority && each.route == route;
    });
    if (found == this->kinds.end() && this->kinds.size() < max_kinds) {
        this->kinds.push_back({std::string(route), priority, decaying_sum(share_half_life),
                               decaying_sum(share_half_life)});
        this->kinds.back().level_at = now;
        found = std::prev(this->kinds.end());
    }
    else if (found == this->kinds.end()) {
        found = std::prev(this->kinds.end());
    }
    found->arrived.add(now, 1);
    found->work = work;
    this->all_arrived.add(now, 1);
    return static_cast<std::size_t>(found - this->kinds.begin());
}

void overload_policy::started(time_point now, std::size_t kind, bool from_queue)
{
    this->kinds.at(kind).started.add(now, 1);
    this->all_started.add(now, 1);
    if (from_queue) {
        this->queue_starts.add(now, 1);
    }
}

void overload_policy::set_waiting(time_point now, bool any_waiting)
{
    if (any_waiting == this->waiting_since.has_value()) {
        return;
    }
    if (any_waiting) {
        this->waiting_since = now;
        return;
    }
    this->queue_seconds.add(now, seconds_f(now - *this->waiting_since).count());
    this->waiting_since.reset();
}

double overload_policy::taken_share(time_point now, std::size_t kind) const
{
    const auto& counts = this->kinds.at(kind);
    const auto idle = std::max<duration>(now - counts.level_at - recovery_delay, duration::zero());
    return std::min(counts.level * std::exp(level_recovery * seconds_f(idle).count()), max_level);
}

time_point overload_policy::first_attempt_at(time_point now, std::size_t kind,
                                             duration caller_timeout)
{
    auto& counts = this->kinds.at(kind);
    if (now - counts.timeout_period_at > timeout_period) {
        counts.last_longest_timeout = counts.longest_timeout;
        counts.longest_timeout = duration::zero();
        counts.timeout_period_at = now;
    }
    counts.longest_timeout = std::max(counts.longest_timeout, caller_timeout);
    const auto longest = std::max(counts.longest_timeout, counts.last_longest_timeout);
    return caller_timeout * 2 < longest ? now : now - (longest - caller_timeout);
}

bool overload_policy::admits(time_point now, const waiting_request& request)
{
    auto& counts = this->kinds.at(request.kind);
    const double share = this->taken_share(now, request.kind);
    if (share >= 1 || !this->is_short(now)) {
        counts.credit = 0;
        return true;
    }
    const double served =
        this->all_started.value(now) / std::max(this->all_arrived.value(now), 1.0);
    const bool late = !meets_target(now, request);
    counts.credit += std::max(late ? 0 : share, min_served_share * served);
    if (counts.credit < 1) {
        return false;
    }
    counts.credit -= 1;
    return true;
}

bool overload_policy::is_short(time_point now) const
{
    return this->waiting_since || (this->waited_at && now - *this->waited_at < shortage_memory);
}

bool overload_policy::may_crowd(time_point now, const waiting_request& request) const
{
    double all_work = 0;
    double urgent_work = 0;
    for (const auto& each : this->kinds) {
        const double work = each.arrived.value(now) * seconds_f(each.work).count();
        all_work += work;
        urgent_work += each.priority <= request.priority ? work : 0;
    }
    const auto patience = request.target_at - request.arrived - request.work;
    return urgent_work < max_crowding_work * all_work &&
           now - request.arrived > patience * crowding_patience;
}

// Whether requests that are worth less for their work than those of a kind are taken in numbers.
bool overload_policy::has_lesser_taken(time_point now, std::size_t kind) const
{
    const auto& own = this->kinds.at(kind);
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
        const auto& other = this->kinds[i];
        if (std::tie(other.priority, other.work) > std::tie(own.priority, own.work) &&
            other.arrived.value(now) >= min_arrivals &&
            this->taken_share(now, i) > max_lesser_share) {
            return true;
        }
    }
    return false;
}

void overload_policy::add_wait(time_point now, const waiting_request& request, duration wait)
{
    const auto patience =
        std::max<duration>(request.target_at - request.arrived - request.work, min_patience);
    if (wait > duration::zero()) {
        this->waited_at = now;
    }
    const auto& own = this->kinds.at(request.kind);
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
        auto& each = this->kinds[i];
        const bool is_own = i == request.kind;
        if (!is_own && std::tie(each.priority, each.work) <= std::tie(own.priority, own.work)) {
            continue;
        }
        const double target = is_own ? wait_of_own_kind : wait_before_others;
        const double excess = seconds_f(wait) / (seconds_f(patience) * target) - 1;
        if (is_own && excess > 0 && this->has_lesser_taken(now, i)) {
            continue;
        }
        const double step = level_gain * std::min(excess, max_wait_excess);
        each.level = std::clamp(this->taken_share(now, i) * std::exp(-step), min_level, max_level);
        each.level_at = now;
    }
}

double overload_policy::served_share(time_point now, const kind_counts& kind) const
{
    return kind.started.value(now) / std::max(kind.arrived.value(now), 1.0);
}

void overload_policy::update_order(time_point now)
{
    const double all = this->all_started.value(now) / std::max(this->all_arrived.value(now), 1.0);
    std::vector<std::optional<double>> shares;
    shares.reserve(this->kinds.size());
    for (const auto& each : this->kinds) {
        const bool is_known = each.arrived.value(now) >= min_arrivals;
        shares.push_back(is_known ? std::optional(this->served_share(now, each)) : std::nullopt);
    }
    for (std::size_t i = 0; i < this->kinds.size(); ++i) {
        auto& each = this->kinds[i];
        each.goes_first = shares[i] && *shares[i] < min_served_share * all;
        for (std::size_t k = 0; shares[i] && !each.goes_first && k < this->kinds.size(); ++k) {
            each.goes_first = this->kinds[k].priority > each.priority && shares[k] &&
                              *shares[k] > *shares[i] + max_share_deficit;
        }
    }
}

bool overload_policy::goes_before(time_point now, const waiting_request& left,
                                  const waiting_request& right) const
{
    const auto rank = [&](const waiting_request& request) {
        return std::make_tuple(!this->kinds.at(request.kind).goes_first,
                               !meets_target(now, request), request.priority, request.work,
                               request.arrived);
    };
    return rank(left) < rank(right);
}

double overload_policy::worth_rate(time_point now, const waiting_request& request)
{
    const double in_time = std::exp2(-static_cast<double>(std::min(request.priority, 60U)));
    const double worth = meets_target(now, request) ? in_time : late_worth_share * in_time;
    return worth / std::max(seconds_f(request.work).count(), 0.001);
}

bool overload_policy::can_end(time_point now, const waiting_request& request, double cost)
{
    const auto expected =
        std::chrono::duration_cast<duration>(request.work * (cost * min_remaining_share));
    return now + expected < request.deadline;
}

double overload_policy::busy_seconds(time_point now) const
{
    const double current = this->waiting_since ? seconds_f(now - *this->waiting_since).count() : 0;
    return this->queue_seconds.value(now) + current;
}

bool overload_policy::waited_lately(time_point now) const
{
    return this->busy_seconds(now) > min_recent_wait;
}

std::optional<duration> overload_policy::expected_wait(time_point now, std::size_t ahead) const
{
    const double busy = this->busy_seconds(now);
    if (busy < min_queue_seconds) {
        return std::nullopt;
    }
    const double rate = (this->queue_starts.value(now) + 1) / busy;
    return std::chrono::duration_cast<duration>(seconds_f(static_cast<double>(ahead) / rate));
}

bool overload_policy::is_hopeless(time_point now, const waiting_request& request,
                                  std::size_t ahead) const
{
    if (!can_end(now, request, 1)) {
        return true;
    }
    const bool could_meet_target = meets_target(request.arrived, request);
    if (could_meet_target && !meets_target(now, request) &&
        this->taken_share(now, request.kind) < 1) {
        return true;
    }
    const auto wait = this->expected_wait(now, ahead);
    return wait && !can_end(now + std::chrono::duration_cast<duration>(*wait / hopeless_factor),
                            request, 1);
}

duration overload_policy::retry_after(time_point now, duration work, std::size_t waiting,
                                      const random_source& random) const
{
    const auto usual = std::max<duration>(work / 2, min_retry_after);
    const auto expected = std::max(this->expected_wait(now, waiting).value_or(usual), usual);
    return std::chrono::duration_cast<duration>(expected * (0.5 + uniform(random)));
}

void overload_policy::add_response(double relative_time, bool crowded)
{
    if (crowded) {
        this->crowded_time +=
            crowding_smoothing * (std::min(relative_time, 4.0) - this->crowded_time);
    }
}

bool overload_policy::is_crowded(const load_report& load)
{
    return load.slots >= min_crowded_slots &&
           static_cast<double>(load.running + load.waiting + 1) > fast_slots(load.slots);
}

bool overload_policy::crowding_costs_capacity(std::size_t slots) const
{
    return this->crowded_time * fast_slots(slots) > static_cast<double>(slots);
}

} // namespace azureshore::balance
