// The sequential test in virtual time, with the load that a service of a deployment has.

#include "azureshore/core/random.hpp"
#include "azureshore/rollout/rollout.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <cstdlib>
#include <iostream>
#include <numbers>

using namespace azureshore;
using namespace std::chrono_literals;

namespace {

constexpr duration step = 250ms;

// What a version does, as probabilities and factors by time since the order.
struct behaviour {
    std::function<double(duration, std::size_t route)> failure_rate = [](duration, std::size_t) {
        return 0.0;
    };
    std::function<double(duration, std::size_t route)> slow_share = [](duration, std::size_t) {
        return 0.0;
    };
    double slow_factor = 4;
};

struct scenario {
    behaviour target;
    behaviour other;
    // Requests per second of the routes.
    std::vector<double> rates{270, 80, 40};
    double share = 0.08;
    duration length = 30s;
    std::function<double(duration)> load = [](duration) {
        return 1.0;
    };
};

struct result {
    std::optional<duration> found_after;
    std::uint64_t sends_to_target = 0;
    std::uint64_t bad_responses = 0;
    // Since the 50th bad response, if there were as many.
    std::optional<duration> after_fiftieth;
    bool judged = false;
};

double normal(const random_source& random)
{
    return std::sqrt(-2 * std::log(1 - uniform(random))) *
           std::cos(2 * std::numbers::pi * uniform(random));
}

// Log-normal response times with a median by route.
void respond(const behaviour& version, duration at, std::size_t route, const random_source& random,
             wire::version_counts& into, std::uint64_t* bad)
{
    ++into.responses;
    if (uniform(random) < version.failure_rate(at, route)) {
        ++into.failures;
        *bad += 1;
        return;
    }
    const bool slow = uniform(random) < version.slow_share(at, route);
    *bad += slow ? 1 : 0;
    const double median_ms =
        100.0 * static_cast<double>(route + 1) * (slow ? version.slow_factor : 1);
    const double ms = median_ms * std::exp(0.35 * normal(random));
    const auto bucket = rollout::bucket_of(
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(ms)));
    into.times.resize(rollout::bucket_count);
    ++into.times[bucket];
}

result run(const scenario& of, std::uint64_t seed)
{
    const auto random = seeded_random(seed);
    rollout::comparison tested;
    result made;
    std::optional<duration> fiftieth;
    std::uint64_t ignored = 0;
    for (duration at = step; at <= of.length; at += step) {
        std::vector<wire::route_counts> counts;
        for (std::size_t route = 0; route < of.rates.size(); ++route) {
            wire::route_counts each{route + 1, {}, {}};
            const double mean = of.rates[route] * of.load(at) * 0.25;
            const auto requests = static_cast<std::size_t>(
                std::max(0.0, std::round(mean + std::sqrt(mean) * normal(random))));
            for (std::size_t sent = 0; sent < requests; ++sent) {
                const bool exposed = uniform(random) < of.share;
                made.sends_to_target += exposed ? 1 : 0;
                respond(exposed ? of.target : of.other, at, route, random,
                        exposed ? each.target : each.other,
                        exposed ? &made.bad_responses : &ignored);
            }
            counts.push_back(each);
        }
        if (!fiftieth && made.bad_responses >= 50) {
            fiftieth = at;
        }
        tested.add(time_point{} + at, counts);
        if (tested.found()) {
            made.found_after = at;
            break;
        }
    }
    if (fiftieth && made.found_after) {
        made.after_fiftieth = *made.found_after - *fiftieth;
    }
    made.judged = tested.has_judged(20, 200);
    return made;
}

std::function<double(duration, std::size_t)> always(double value)
{
    return [value](duration, std::size_t) {
        return value;
    };
}

struct named_scenario {
    std::string name;
    scenario of;
};

std::vector<named_scenario> bad_versions()
{
    std::vector<named_scenario> all;
    const auto add = [&all](const std::string& name) -> scenario& {
        return all.emplace_back(named_scenario{name, {}}).of;
    };
    add("30% fail").target.failure_rate = always(0.3);
    add("10% fail").target.failure_rate = always(0.1);
    add("30% fail from 12 s on").target.failure_rate = [](duration at, std::size_t) {
        return at >= 12s ? 0.3 : 0.0;
    };
    add("30% fail on the smallest route").target.failure_rate = [](duration, std::size_t route) {
        return route == 2 ? 0.3 : 0.0;
    };
    auto& under_load = add("30% fail while the load is x1.8, from 8 s to 14 s");
    under_load.load = [](duration at) {
        return at >= 8s && at < 14s ? 1.8 : 0.7;
    };
    under_load.target.failure_rate = [](duration at, std::size_t) {
        return at >= 8s && at < 14s ? 0.3 : 0.0;
    };
    add("all take x4").target.slow_share = always(1);
    auto& tripled = add("half take x3");
    tripled.target.slow_share = always(0.5);
    tripled.target.slow_factor = 3;
    add("40% take x4").target.slow_share = always(0.4);
    add("all take x4 on the smallest route").target.slow_share = [](duration, std::size_t route) {
        return route == 2 ? 1.0 : 0.0;
    };
    add("40% take x4 from 12 s on").target.slow_share = [](duration at, std::size_t) {
        return at >= 12s ? 0.4 : 0.0;
    };
    auto& small = add("30% fail, at 24 requests/s");
    small.target.failure_rate = always(0.3);
    small.rates = {24};
    return all;
}

// Good versions under noise that falls on both, and harder on the target for some seconds.
scenario good_version(std::uint64_t kind)
{
    scenario made;
    switch (kind % 6) {
    case 1:
        made.target.failure_rate = made.other.failure_rate = always(0.01);
        made.target.slow_share = made.other.slow_share = always(0.05);
        break;
    case 2:
        made.load = [](duration at) {
            return at >= 8s && at < 13s ? 2.5 : 1.0;
        };
        made.target.slow_share = made.other.slow_share = [](duration at, std::size_t) {
            return at >= 8s && at < 13s ? 0.5 : 0.02;
        };
        break;
    case 3:
        // The service fails as a whole.
        made.target.failure_rate = made.other.failure_rate = [](duration at, std::size_t) {
            return at >= 10s && at < 16s ? 0.4 : 0.005;
        };
        break;
    case 4:
        // Servers slow down; by chance more of the target's.
        made.other.slow_share = [](duration at, std::size_t) {
            return at >= 10s && at < 18s ? 0.25 : 0.01;
        };
        made.target.slow_share = [](duration at, std::size_t) {
            return at >= 10s && at < 18s ? 0.33 : 0.01;
        };
        break;
    case 5:
        // Servers slow down when they are nearly full, the few exposed ones more often.
        made.target.slow_factor = made.other.slow_factor = 1.7;
        made.other.slow_share = always(0.2);
        made.target.slow_share = always(0.45);
        break;
    default:
        break;
    }
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_comparison)

// Guards against a test that misses one of the ways in which a version can be bad, or that needs
// longer than a bad version may get requests.
BOOST_AUTO_TEST_CASE(bad_versions_are_found_in_time)
{
    constexpr std::uint64_t runs = 100;
    for (const auto& each : bad_versions()) {
        std::size_t missed = 0;
        std::size_t late = 0;
        std::vector<double> seconds;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            const auto made = run(each.of, seed);
            missed += made.found_after ? 0 : 1;
            late += made.after_fiftieth && *made.after_fiftieth > 2s ? 1 : 0;
            if (made.found_after) {
                seconds.push_back(std::chrono::duration<double>(*made.found_after).count());
            }
        }
        std::sort(seconds.begin(), seconds.end());
        if (!seconds.empty()) {
            std::cout << "| " << each.name << " | " << missed << " | " << late << " | "
                      << seconds[seconds.size() / 2] << " | " << seconds.back() << " |\n";
        }
        BOOST_TEST(missed <= 1U, each.name);
        BOOST_TEST(late == 0U, each.name);
    }
}

// Guards against good versions that are rolled back because the service or the load changes.
BOOST_AUTO_TEST_CASE(of_a_thousand_good_versions_at_most_two_are_rolled_back)
{
    std::array<std::size_t, 6> found{};
    std::size_t unjudged = 0;
    for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
        const auto made = run(good_version(seed), seed);
        found.at(seed % 6) += made.found_after ? 1 : 0;
        unjudged += made.judged || made.found_after ? 0 : 1;
    }
    std::cout << "good versions found bad, by kind of noise:";
    std::size_t total = 0;
    for (const auto each : found) {
        std::cout << ' ' << each;
        total += each;
    }
    std::cout << "; not judged: " << unjudged << '\n';
    BOOST_TEST(total <= 2U);
    BOOST_TEST(unjudged == 0U);
}

// Guards against a roll-back because one server died with its requests.
BOOST_AUTO_TEST_CASE(one_burst_of_failures_is_no_finding)
{
    rollout::comparison tested;
    for (int turn = 0; turn < 40; ++turn) {
        wire::route_counts counts{1, {8, turn == 20 ? 8U : 0U, {}}, {90, 0, {}}};
        tested.add(time_point{} + turn * step, {counts});
    }
    BOOST_TEST(!tested.found().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
