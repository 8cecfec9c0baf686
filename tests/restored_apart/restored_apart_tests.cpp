// What a daemon that was cut off after the store was restored takes over from the others.

#include "support/restored_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::test;
using namespace std::chrono_literals;
using wire::shared_topic;

BOOST_AUTO_TEST_SUITE(restored_apart)

// Guards against a data centre that is put out of service again after the operators took it back,
// because a daemon that has not heard of that tells what it knows from before the restore.
BOOST_AUTO_TEST_CASE(an_order_lifted_after_a_restore_is_not_learned_again)
{
    constexpr std::size_t daemons = 13;
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", 60);
    const auto first = test_support::number_from("AZURESHORE_SEED", 0);
    for (std::uint64_t seed = first; seed < first + schedules; ++seed) {
        restored_cluster cluster(daemons, seed);
        auto random = seeded_random(seed * 13 + 5);
        cluster.first_start = false;
        const auto cut = [&](std::size_t daemon) {
            cluster.disconnected.insert(daemon);
            cluster.store.unanswered_callers.insert(cluster.name_of(daemon).value);
        };
        const std::size_t missed_order = seed % daemons;
        const std::size_t missed_lift = (seed + 1 + seed / daemons) % daemons;
        cluster.store.take_backup();
        cut(missed_order);
        cluster.clock.run_for(1s);
        cluster.store.put(sharing_cluster::operators, "out-of-service", "1");
        cluster.clock.run_for(apply_bound);
        cluster.store.restore_backup();
        cluster.clock.run_for(apply_bound);
        cut(missed_lift);
        cluster.store.put(sharing_cluster::operators, "out-of-service", "1");
        cluster.clock.run_for(1s);
        cluster.store.put(sharing_cluster::operators, "out-of-service", std::nullopt);
        cluster.clock.run_for(apply_bound);
        cluster.store.unanswered_callers.clear();
        cluster.clock.run_for(std::chrono::milliseconds(uniform_index(random, 1000)));
        cluster.disconnected.clear();
        cluster.clock.run_for(apply_bound);
        BOOST_TEST_CONTEXT("seed " << seed << " missed order " << missed_order << " lift "
                                   << missed_lift)
        cluster.check_known(shared_topic::operators, "out-of-service", "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
