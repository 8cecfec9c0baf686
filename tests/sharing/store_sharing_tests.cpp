#include "sharing/sharing_cluster.hpp"
#include "support/environment.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::test;
using namespace std::chrono_literals;
using wire::shared_topic;

namespace {

constexpr std::size_t few = 13;
// What the store accepts has effect everywhere within this time.
constexpr duration bound = 2s;

// A cluster that has run long enough for one daemon to read for all.
std::unique_ptr<sharing_cluster> settled_cluster(std::size_t daemons, std::uint64_t seed)
{
    auto cluster = std::make_unique<sharing_cluster>(daemons, seed);
    cluster->store.put(sharing_cluster::operators, "config", "1");
    for (std::size_t i = 0; i < daemons; ++i) {
        cluster->start(i);
    }
    cluster->clock.run_for(6s);
    return cluster;
}

bool all_know(const sharing_cluster& cluster, std::size_t daemons, shared_topic topic,
              const std::string& key, const std::string& value)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.lives(i) && cluster.known(i, topic, key) != value) {
            BOOST_TEST_MESSAGE("vm-" << i << " knows '" << cluster.known(i, topic, key) << "'");
            return false;
        }
    }
    return true;
}

// The daemon that is first in the order of readers.
std::size_t reader_of(const sharing_cluster& cluster, std::size_t daemons)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.lives(i) && cluster.members_of(i).rank() == 0) {
            return i;
        }
    }
    return daemons;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_sharing)

BOOST_AUTO_TEST_CASE(a_change_of_the_configuration_reaches_all_daemons_at_once)
{
    auto cluster = settled_cluster(few, 1);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(100ms);
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(one_daemon_reads_for_all)
{
    auto cluster = settled_cluster(few, 2);
    const auto before = cluster->store.calls;
    cluster->clock.run_for(10s);
    // One read of each topic a second, for all daemons together, and a half more.
    BOOST_TEST(cluster->store.calls - before <= 30U);
}

BOOST_AUTO_TEST_CASE(a_registration_reaches_all_daemons_within_the_bound)
{
    auto cluster = settled_cluster(few, 3);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->clock.run_for(bound);
    BOOST_TEST(all_know(*cluster, few, shared_topic::registrations, "plate-1", "ready"));
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_reader_is_killed)
{
    auto cluster = settled_cluster(few, 4);
    cluster->kill(reader_of(*cluster, few));
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.put(sharing_cluster::registrations, "plate-1", "draining");
    cluster->clock.run_for(bound);
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
    BOOST_TEST(all_know(*cluster, few, shared_topic::registrations, "plate-1", "draining"));
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_store_turns_the_reader_away)
{
    auto cluster = settled_cluster(few, 5);
    const auto reader = reader_of(*cluster, few);
    cluster->store.unanswered.insert(cluster->name_of(reader).value);
    cluster->clock.run_for(300ms);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(bound);
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(a_daemon_that_the_store_turns_away_learns_of_a_change_from_the_others)
{
    // The change comes before, while and after another daemon begins to read for all.
    for (auto wait = 0ms; wait < 2500ms; wait += 100ms) {
        for (const std::size_t daemons : {std::size_t{2}, few}) {
            auto cluster = settled_cluster(daemons, 9);
            const auto reader = reader_of(*cluster, daemons);
            cluster->store.unanswered.insert(cluster->name_of(reader).value);
            cluster->clock.run_for(wait);
            cluster->store.put(sharing_cluster::operators, "config", "2");
            cluster->store.put(sharing_cluster::operators, "evacuate/a", "x");
            cluster->clock.run_for(bound);
            BOOST_TEST_CONTEXT(daemons << " daemons, after " << wait.count() << " ms")
            {
                BOOST_TEST(all_know(*cluster, daemons, shared_topic::operators, "config", "2"));
                BOOST_TEST(all_know(*cluster, daemons, shared_topic::operators, "evacuate/a", "x"));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_the_store_turns_away_asks_for_what_it_missed)
{
    auto cluster = settled_cluster(2, 9);
    const auto reader = reader_of(*cluster, 2);
    cluster->store.unanswered.insert(cluster->name_of(reader).value);
    cluster->clock.run_for(3s);
    cluster->cut_off.insert(reader);
    for (int i = 0; i < 5; ++i) {
        cluster->store.put(sharing_cluster::operators, "config", std::to_string(i));
        cluster->clock.run_for(1s);
    }
    cluster->cut_off.clear();
    cluster->clock.run_for(2 * bound);
    BOOST_TEST(all_know(*cluster, 2, shared_topic::operators, "config", "4"));
}

BOOST_AUTO_TEST_CASE(a_daemon_cut_off_from_the_others_reads_for_itself)
{
    auto cluster = settled_cluster(few, 6);
    const auto cut = (reader_of(*cluster, few) + 1) % few;
    cluster->cut_off.insert(cut);
    cluster->clock.run_for(1s);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(bound);
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(a_change_during_an_outage_is_known_soon_after_its_end)
{
    auto cluster = settled_cluster(few, 7);
    cluster->store.unanswered.insert("*");
    cluster->clock.run_for(8s);
    BOOST_TEST(cluster->losses == few);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.unanswered.clear();
    cluster->clock.run_for(3s);
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(an_outage_costs_each_daemon_at_most_two_calls_a_second)
{
    auto cluster = settled_cluster(few, 8);
    cluster->store.unanswered.insert("*");
    cluster->clock.run_for(2s);
    const auto before = cluster->store.calls;
    cluster->clock.run_for(5s);
    BOOST_TEST(cluster->store.calls - before <= std::size_t{2} * 5 * few);
}

BOOST_AUTO_TEST_CASE(daemons_list_again_when_records_have_expired)
{
    auto cluster = settled_cluster(few, 9);
    cluster->store.unanswered.insert("*");
    cluster->clock.run_for(4s);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.compact(sharing_cluster::registrations);
    cluster->store.compact(sharing_cluster::operators);
    cluster->store.unanswered.clear();
    cluster->clock.run_for(3s);
    BOOST_TEST(all_know(*cluster, few, shared_topic::registrations, "plate-1", "ready"));
    BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_store_does_not_wake_a_waiting_read)
{
    auto cluster = settled_cluster(few, 13);
    cluster->store.wakes_reads = false;
    for (int i = 0; i < 10; ++i) {
        const auto value = std::to_string(i + 2);
        cluster->store.put(sharing_cluster::operators, "config", value);
        cluster->clock.run_for(bound);
        BOOST_TEST(all_know(*cluster, few, shared_topic::operators, "config", value));
        cluster->clock.run_for(std::chrono::milliseconds(137 * i));
    }
}

BOOST_AUTO_TEST_CASE(messages_to_another_data_centre_do_not_grow_with_its_daemons)
{
    constexpr std::size_t many = 60;
    auto cluster = settled_cluster(many, 14);
    const auto before = cluster->messages;
    cluster->clock.run_for(10s);
    // News once a second to each daemon, and its answer, and a fifth more.
    BOOST_TEST(cluster->messages - before <= std::size_t{2} * 12 * many * 12 / 10);
}

BOOST_AUTO_TEST_CASE(all_daemons_know_each_other_soon_after_a_common_start)
{
    auto cluster = settled_cluster(few, 10);
    for (std::size_t i = 0; i < few; ++i) {
        BOOST_TEST(cluster->members_of(i).serving_count() == few);
    }
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_is_dropped_and_one_that_starts_again_is_taken_in)
{
    auto cluster = settled_cluster(few, 11);
    cluster->kill(3);
    cluster->clock.run_for(9s);
    BOOST_TEST(cluster->members_of(4).serving_count() == few - 1);
    cluster->start(3);
    cluster->clock.run_for(3s);
    for (std::size_t i = 0; i < few; ++i) {
        BOOST_TEST(cluster->members_of(i).serving_count() == few);
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_during_an_outage_learns_from_the_others)
{
    auto cluster = settled_cluster(few, 15);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->clock.run_for(2s);
    cluster->store.unanswered.insert("*");
    cluster->kill(3);
    cluster->clock.run_for(1s);
    cluster->start(3);
    cluster->clock.run_for(1s);
    BOOST_TEST(cluster->sharing_of(3).topics_listed());
    BOOST_TEST(cluster->known(3, shared_topic::operators, "config") == "1");
    BOOST_TEST(cluster->known(3, shared_topic::registrations, "plate-1") == "ready");
}

BOOST_AUTO_TEST_CASE(a_common_start_costs_two_calls_a_daemon_and_a_few)
{
    sharing_cluster cluster(few, 16);
    for (std::size_t i = 0; i < few; ++i) {
        cluster.start(i);
    }
    cluster.clock.run_for(700ms);
    for (std::size_t i = 0; i < few; ++i) {
        BOOST_TEST(cluster.sharing_of(i).topics_listed());
    }
    // Each announces itself and reads the members; the first ones list both topics.
    BOOST_TEST(cluster.store.calls <= 2 * few + 8);
}

BOOST_AUTO_TEST_CASE(a_large_change_reaches_all_daemons_in_parts)
{
    auto cluster = settled_cluster(few, 17);
    const std::string large(500, 'x');
    for (int i = 0; i < 400; ++i) {
        cluster->store.put(sharing_cluster::registrations, "plate-" + std::to_string(i), large);
    }
    const auto before = cluster->store.calls;
    cluster->clock.run_for(bound);
    for (int i = 0; i < 400; i += 57) {
        BOOST_TEST(all_know(*cluster, few, shared_topic::registrations,
                            "plate-" + std::to_string(i), large));
    }
    BOOST_TEST(cluster->store.calls - before <= 8U);
}

BOOST_AUTO_TEST_CASE(every_daemon_learns_how_many_requests_all_get_together)
{
    auto cluster = settled_cluster(few, 18);
    for (std::size_t i = 0; i < few; ++i) {
        // Each gets as many a second as its number.
        BOOST_TEST(cluster->sharing_of(i).total_request_rate() == 78.0);
    }
}

BOOST_AUTO_TEST_CASE(each_cold_backend_server_has_two_daemons_that_share_its_rate)
{
    auto cluster = settled_cluster(few, 12);
    for (const std::string backend : {"plate-1", "plate-2", "plate-3"}) {
        double parts = 0;
        std::size_t sharers = 0;
        for (std::size_t i = 0; i < few; ++i) {
            const auto part = cluster->members_of(i).share_of(backend, 2);
            parts += part;
            sharers += part > 0 ? 1 : 0;
        }
        BOOST_TEST(parts == 1.0);
        BOOST_TEST(sharers == 2U);
    }
}

// Random schedules against the bound: changes at any moment, lost messages, kills and restarts,
// and a store that turns single daemons away. Each daemon that lived and was served by the store
// throughout must know each change within the bound.
BOOST_AUTO_TEST_CASE(every_change_is_known_within_the_bound_over_random_schedules)
{
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", 60);
    for (std::uint64_t seed = 0; seed < schedules; ++seed) {
        auto cluster = settled_cluster(few, seed);
        cluster->loss = 0.05;
        auto random = seeded_random(seed * 31 + 7);
        for (int step = 0; step < 12; ++step) {
            std::set<std::size_t> disturbed;
            const auto victim = uniform_index(random, few);
            const auto trouble = uniform_index(random, 3);
            if (trouble == 0 && cluster->lives(victim)) {
                cluster->kill(victim);
            }
            if (trouble == 1) {
                cluster->store.unanswered = {cluster->name_of(victim).value};
                disturbed.insert(victim);
            }
            const auto value = std::to_string(step + 2);
            const auto topic =
                uniform(random) < 0.5 ? shared_topic::operators : shared_topic::registrations;
            cluster->clock.run_for(std::chrono::milliseconds(uniform_index(random, 900)));
            cluster->store.put(topic == shared_topic::operators ? sharing_cluster::operators
                                                                : sharing_cluster::registrations,
                               "key", value);
            cluster->clock.run_for(bound);
            for (std::size_t i = 0; i < few; ++i) {
                if (cluster->lives(i) && !disturbed.contains(i)) {
                    BOOST_TEST_CONTEXT("seed " << seed << " step " << step << " vm-" << i)
                    BOOST_TEST(cluster->known(i, topic, "key") == value);
                }
            }
            cluster->store.unanswered.clear();
            for (std::size_t i = 0; i < few; ++i) {
                if (!cluster->lives(i)) {
                    cluster->start(i);
                }
            }
            cluster->clock.run_for(std::chrono::milliseconds(uniform_index(random, 2000)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
