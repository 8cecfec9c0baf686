#pragma once

#include "support/environment.hpp"
#include "support/sharing_cluster.hpp"

#include <boost/test/unit_test.hpp>

namespace azureshore::test {

// The time within which a record that the store accepts takes effect on every daemon.
inline constexpr duration apply_bound = std::chrono::seconds(2);

// Daemons that have settled with a store that can be restored from a backup.
class restored_cluster : public sharing_cluster {
public:
    restored_cluster(std::size_t daemons, std::uint64_t seed)
        : sharing_cluster(daemons, seed), daemon_count(daemons)
    {
        this->store.put(operators, "config", "1");
        this->store.put(registrations, "plate-1", "ready 1");
        for (std::size_t i = 0; i < daemons; ++i) {
            this->start(i);
        }
        this->clock.run_for(std::chrono::seconds(6));
    }

    // The store goes away and comes back from its last backup; writers write again soon after.
    void lose_and_restore(duration outage)
    {
        this->store.unanswered_callers.insert("*");
        this->clock.run_for(outage);
        this->store.restore_backup();
        this->store.unanswered_callers.erase("*");
        this->clock.run_for(std::chrono::milliseconds(100));
        this->store.write_lost_records_again();
    }

    void check_known(wire::shared_topic topic, const std::string& key, const std::string& value,
                     const std::set<std::size_t>& exempt = {}) const
    {
        for (std::size_t i = 0; i < this->daemon_count; ++i) {
            if (this->is_running(i) && !exempt.contains(i)) {
                BOOST_TEST_CONTEXT("vm-" << i << ", key " << key)
                BOOST_TEST(this->known_value(i, topic, key) == value);
            }
        }
    }

    std::size_t daemon_count;
};

// Checks that a change soon after a restore is known in time although the store serves one daemon
// in ten, for a number of seeds.
inline void check_change_while_one_in_ten_is_served(std::size_t daemons)
{
    constexpr double served_share = 0.1;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        restored_cluster cluster(daemons, seed);
        auto random = seeded_random(seed);
        cluster.store.take_backup();
        cluster.store.put(sharing_cluster::operators, "config", "2");
        cluster.clock.run_for(apply_bound);
        const auto always_served = uniform_index(random, daemons);
        std::set<std::string> refused;
        for (std::size_t i = 0; i < daemons; ++i) {
            if (i != always_served && uniform(random) >= served_share) {
                refused.insert(cluster.name_of(i).value);
            }
        }
        cluster.store.unanswered_callers = refused;
        cluster.clock.run_for(std::chrono::milliseconds(500));
        cluster.store.unanswered_callers.insert("*");
        cluster.clock.run_for(std::chrono::seconds(2));
        cluster.store.restore_backup();
        cluster.store.unanswered_callers = refused;
        cluster.store.put(sharing_cluster::operators, "config", "3");
        cluster.clock.run_for(apply_bound);
        BOOST_TEST_CONTEXT("seed " << seed)
        cluster.check_known(wire::shared_topic::operators, "config", "3");
    }
}

} // namespace azureshore::test
