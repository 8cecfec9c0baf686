#include "azureshore/rollout/rollout.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace azureshore::rollout {

namespace {

using seconds_f = std::chrono::duration<double>;

constexpr std::size_t max_routes = 32;
constexpr double first_bucket_ms = 5;
constexpr double bucket_ratio = 1.5;
// A sum of log-likelihood ratios from which on the target version counts as bad, and from which on
// it is not completed yet.
constexpr double finding_threshold = 14;
constexpr double suspicion_threshold = 5;
// The largest increase of a sum at once. A server that dies makes all its responses fail at
// once, and the daemons report them within about a second.
constexpr double max_step = 4;
// What is counted in this time is weighed together.
constexpr duration weighing_interval = std::chrono::milliseconds(500);
// What is counted of the other versions loses half of its weight in this time.
constexpr duration baseline_half_life = std::chrono::seconds(3);
// The rate of failures of a good version is taken for at least this.
constexpr double min_rate = 0.01;
// The rates of the versions that are to be found, above the rate of a good one.
constexpr double failure_excess = 0.06;
constexpr double slow_excess = 0.2;
constexpr double max_rate = 0.97;
// A response is slow if its bucket is this far above the others' median.
constexpr std::size_t slow_buckets = 3;
// A route is to be judged if it has this share of the responses of its service.
constexpr double min_route_share = 0.03;

// Counts of the other versions, as weighted by age.
struct baseline {
    double responses = 0;
    double failures = 0;
    std::array<double, bucket_count> times{};

    void decay(double factor)
    {
        this->responses *= factor;
        this->failures *= factor;
        for (auto& each : this->times) {
            each *= factor;
        }
    }

    void add(const wire::version_counts& counts)
    {
        this->responses += static_cast<double>(counts.responses);
        this->failures += static_cast<double>(counts.failures);
        for (std::size_t bucket = 0; bucket < std::min(counts.times.size(), bucket_count);
             ++bucket) {
            this->times[bucket] += static_cast<double>(counts.times[bucket]);
        }
    }
};

// The rate that a good version may have, with a margin for the chance in few observations.
double expected_rate(double events, double observations)
{
    const double rate = std::clamp((events + 0.5) / (observations + 1), 0.0, 1.0);
    return std::max(rate + std::sqrt(rate * (1 - rate) / (observations + 1)), min_rate);
}

double share_of(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

struct cumulative_sum {
    double value = 0;
    bool found = false;

    void add(double events, double observations, double good_rate, double excess)
    {
        const double bad_rate = good_rate * 1.5 + excess;
        if (observations <= 0 || bad_rate >= max_rate) {
            return;
        }
        const double ratio = events * std::log(bad_rate / good_rate) +
                             (observations - events) * std::log((1 - bad_rate) / (1 - good_rate));
        this->value = std::max(this->value + std::min(ratio, max_step), 0.0);
        this->found = this->found || this->value >= finding_threshold;
    }
};

struct route_state {
    baseline others;
    cumulative_sum failures;
    cumulative_sum slow;
    std::uint64_t judged = 0;
    std::uint64_t counted = 0;
    std::uint64_t other_responses = 0;
};

// The responses in a bucket and all later ones.
double count_from(const std::vector<std::uint64_t>& times, std::size_t first)
{
    std::uint64_t sum = 0;
    for (auto bucket = first; bucket < times.size(); ++bucket) {
        sum += times[bucket];
    }
    return static_cast<double>(sum);
}

// The first bucket of slow responses.
std::size_t first_slow_bucket(const baseline& others, double total)
{
    double sum = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        sum += others.times[bucket];
        if (sum * 2 >= total) {
            return bucket + slow_buckets;
        }
    }
    return bucket_count;
}

// The expected and the observed slow responses of one call.
struct slow_counts {
    double events = 0;
    double observations = 0;
    double good_rate = 1;
};

slow_counts count_slow(const baseline& others, const wire::route_counts& counts)
{
    double total = 0;
    for (const auto each : others.times) {
        total += each;
    }
    slow_counts counted;
    const auto first = first_slow_bucket(others, total);
    if (total <= 0 || first >= bucket_count) {
        return counted;
    }
    double slow_others = 0;
    for (std::size_t bucket = first; bucket < bucket_count; ++bucket) {
        slow_others += others.times[bucket];
    }
    counted.observations = count_from(counts.target.times, 0);
    counted.events = count_from(counts.target.times, first);
    // A change that comes to all versions at once shows in the newest counts first.
    counted.good_rate =
        std::max(expected_rate(slow_others, total), share_of(count_from(counts.other.times, first),
                                                             count_from(counts.other.times, 0)));
    return counted;
}

void add_counts(wire::version_counts& into, const wire::version_counts& more)
{
    into.responses += more.responses;
    into.failures += more.failures;
    into.times.resize(std::max(into.times.size(), std::min(more.times.size(), bucket_count)));
    for (std::size_t bucket = 0; bucket < std::min(more.times.size(), bucket_count); ++bucket) {
        into.times[bucket] += more.times[bucket];
    }
}

} // namespace

std::size_t bucket_of(duration response_time)
{
    const double ratio = to_milliseconds(response_time) / first_bucket_ms;
    if (ratio <= 1) {
        return 0;
    }
    const auto bucket =
        static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(bucket_ratio)));
    return std::min(bucket, bucket_count - 1);
}

void merge(std::vector<wire::route_counts>& into, const std::vector<wire::route_counts>& more)
{
    for (const auto& each : more) {
        auto found = std::find_if(into.begin(), into.end(),
                                  [&](const auto& known) { return known.route == each.route; });
        if (found == into.end()) {
            if (into.size() >= max_routes) {
                continue;
            }
            into.push_back({each.route, {}, {}});
            found = std::prev(into.end());
        }
        add_counts(found->target, each.target);
        add_counts(found->other, each.other);
    }
}

struct comparison::state {
    std::map<std::uint64_t, route_state> routes;
    cumulative_sum all_failures;
    cumulative_sum all_slow;
    std::vector<wire::route_counts> pending;
    std::optional<time_point> last_at;
    std::optional<finding> first_finding;

    void add(time_point now, const std::vector<wire::route_counts>& counts)
    {
        merge(this->pending, counts);
        if (!this->last_at) {
            this->last_at = now;
        }
        if (now - *this->last_at >= weighing_interval) {
            this->weigh(now - *this->last_at, std::exchange(this->pending, {}));
            this->last_at = now;
        }
    }

    void weigh(duration elapsed, const std::vector<wire::route_counts>& counts)
    {
        for (auto& [name, route] : this->routes) {
            route.others.decay(std::exp2(-(seconds_f(elapsed) / seconds_f(baseline_half_life))));
        }
        slow_counts slow_together;
        double failures = 0;
        double responses = 0;
        double expected_failures = 0;
        double expected_slow = 0;
        for (const auto& each : counts) {
            auto& route = this->routes[each.route];
            route.others.add(each.other);
            route.other_responses += each.other.responses;
            route.counted += each.target.responses;
            route.judged += static_cast<std::uint64_t>(count_from(each.target.times, 0));
            const auto observed = static_cast<double>(each.target.responses);
            const auto failed = static_cast<double>(each.target.failures);
            const double rate =
                std::max(expected_rate(route.others.failures, route.others.responses),
                         share_of(static_cast<double>(each.other.failures),
                                  static_cast<double>(each.other.responses)));
            route.failures.add(failed, observed, rate, failure_excess);
            const auto slow = count_slow(route.others, each);
            route.slow.add(slow.events, slow.observations, slow.good_rate, slow_excess);
            failures += failed;
            responses += observed;
            expected_failures += observed * rate;
            slow_together.events += slow.events;
            slow_together.observations += slow.observations;
            expected_slow += slow.observations * slow.good_rate;
        }
        if (responses > 0) {
            this->all_failures.add(failures, responses, expected_failures / responses,
                                   failure_excess);
        }
        if (slow_together.observations > 0) {
            this->all_slow.add(slow_together.events, slow_together.observations,
                               expected_slow / slow_together.observations, slow_excess);
        }
        this->note_findings();
    }

    [[nodiscard]] bool has_enough(std::uint64_t route_state::*counter, std::uint64_t on_each_route,
                                  std::uint64_t together) const
    {
        std::uint64_t sum = 0;
        std::uint64_t others = 0;
        for (const auto& [name, route] : this->routes) {
            sum += route.*counter;
            others += route.other_responses;
        }
        return sum >= together &&
               std::all_of(this->routes.begin(), this->routes.end(), [&](const auto& each) {
                   const auto weight = static_cast<double>(each.second.other_responses);
                   return weight < min_route_share * static_cast<double>(others) ||
                          each.second.*counter >= on_each_route;
               });
    }

    void note_findings()
    {
        if (this->first_finding) {
            return;
        }
        for (const auto& [name, route] : this->routes) {
            if (route.failures.found || route.slow.found) {
                this->first_finding = {route.failures.found ? "failures" : "slow", name};
                return;
            }
        }
        if (this->all_failures.found || this->all_slow.found) {
            this->first_finding = {this->all_failures.found ? "failures" : "slow", 0};
        }
    }
};

comparison::comparison() : inner(std::make_unique<state>()) {}
comparison::~comparison() = default;
comparison::comparison(comparison&&) noexcept = default;
comparison& comparison::operator=(comparison&&) noexcept = default;

void comparison::add(time_point now, const std::vector<wire::route_counts>& counts)
{
    this->inner->add(now, counts);
}

std::optional<finding> comparison::found() const
{
    return this->inner->first_finding;
}

bool comparison::is_suspicious() const
{
    const auto high = [](const cumulative_sum& sum) {
        return sum.value >= suspicion_threshold;
    };
    return high(this->inner->all_failures) || high(this->inner->all_slow) ||
           std::any_of(this->inner->routes.begin(), this->inner->routes.end(),
                       [&](const auto& each) {
                           return high(each.second.failures) || high(each.second.slow);
                       });
}

bool comparison::has_judged(std::uint64_t on_each_route, std::uint64_t together) const
{
    return this->inner->has_enough(&route_state::judged, on_each_route, together);
}

bool comparison::has_counted(std::uint64_t on_each_route, std::uint64_t together) const
{
    return this->inner->has_enough(&route_state::counted, on_each_route, together);
}

} // namespace azureshore::rollout
