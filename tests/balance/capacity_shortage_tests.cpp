// Several daemons share one service whose capacity is too small for all kinds of request.

#include "balance/dispatch_simulation.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace azureshore;
using namespace azureshore::balance;
using namespace azureshore::test;
using namespace std::chrono_literals;

namespace {

const std::array<std::string, 3> kinds{"urgent", "usual", "patient"};

struct shares {
    double served = 0;
    double in_time = 0;
};

// Six servers with four fast slots serve 240 requests of 100 ms per second.
struct crowded_service {
    crowded_service() : simulation(8, 7)
    {
        auto all = one_service("service", false, 400ms, 1500ms);
        const auto first = all.routes.front();
        all.routes.clear();
        for (std::size_t i = 0; i < kinds.size(); ++i) {
            all.routes.push_back(first);
            all.routes.back().name = kinds.at(i);
            all.routes.back().path_prefix = '/' + kinds.at(i) + '/';
            all.routes.back().priority = static_cast<std::uint32_t>(i);
        }
        this->simulation.configure(all);
        server_traits traits;
        traits.slots = 6;
        traits.queue = 12;
        traits.crowded_factor = 1.7;
        traits.declines_when_full = true;
        for (int i = 0; i < 6; ++i) {
            this->simulation.add_server("server-" + std::to_string(i), "service", traits);
        }
    }

    // Runs a load of all kinds in equal parts, and returns the shares by kind.
    std::array<shares, 3> run(double per_second)
    {
        std::array<std::vector<std::uint64_t>, 3> keys;
        const auto count = static_cast<int>(per_second * 10);
        for (int i = 0; i < count; ++i) {
            this->simulation.clock.run_for(std::chrono::duration_cast<duration>(10s) / count);
            const auto kind = uniform_index(this->simulation.random, kinds.size());
            keys.at(kind).push_back(this->simulation.request(
                uniform_index(this->simulation.random, 8), '/' + kinds.at(kind) + "/1", 1500ms));
        }
        this->simulation.clock.run_for(3s);
        std::array<shares, 3> result;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
            for (const auto key : keys.at(kind)) {
                const auto& each = this->simulation.outcomes.at(key);
                const double part = 1 / static_cast<double>(keys.at(kind).size());
                result.at(kind).served += each.delivered ? part : 0;
                result.at(kind).in_time += each.delivered && each.took <= 400ms ? part : 0;
            }
        }
        return result;
    }

    dispatch_simulation simulation;
};

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_shortage)

// The policy must not cost anything where there is capacity.
BOOST_AUTO_TEST_CASE(below_the_capacity_all_kinds_are_served_in_time)
{
    crowded_service service;
    for (const auto& each : service.run(160)) {
        BOOST_TEST(each.in_time >= 0.98);
    }
}

// Without the policy, each kind is late to the same degree.
BOOST_AUTO_TEST_CASE(at_twice_the_capacity_the_urgent_kind_is_in_time_and_no_kind_starves)
{
    crowded_service service;
    const auto result = service.run(480);
    BOOST_TEST(result[0].in_time >= 0.9);
    BOOST_TEST(result[0].served >= result[1].served - 0.05);
    BOOST_TEST(result[1].served >= result[2].served - 0.05);
    const double all = (result[0].served + result[1].served + result[2].served) / 3;
    BOOST_TEST(result[2].served >= 0.25 * all);
}

// Executions for callers that are gone take capacity from others.
BOOST_AUTO_TEST_CASE(under_a_shortage_few_executions_are_wasted)
{
    crowded_service service;
    service.run(480);
    const auto delivered =
        std::count_if(service.simulation.outcomes.begin(), service.simulation.outcomes.end(),
                      [](const auto& each) { return each.second.delivered; });
    BOOST_TEST(static_cast<double>(service.simulation.runs) <=
               1.02 * static_cast<double>(delivered));
}

BOOST_AUTO_TEST_SUITE_END()
