#include "support/environment.hpp"
#include "support/sharing_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::test;
using namespace std::chrono_literals;
using wire::shared_topic;

namespace {

constexpr std::size_t daemon_count = 13;
// The time within which a record that the store accepts takes effect on every daemon.
constexpr duration apply_bound = 2s;

// Returns a cluster that has run long enough for one daemon to become the reader.
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

bool all_daemons_know(const sharing_cluster& cluster, std::size_t daemons, shared_topic topic,
                      const std::string& key, const std::string& value)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.is_running(i) && cluster.known_value(i, topic, key) != value) {
            BOOST_TEST_MESSAGE("vm-" << i << " knows '" << cluster.known_value(i, topic, key)
                                     << "'");
            return false;
        }
    }
    return true;
}

// Returns the running daemon that ranks first for reading the store, or `daemons` if there is none.
std::size_t first_ranked_daemon(const sharing_cluster& cluster, std::size_t daemons)
{
    for (std::size_t i = 0; i < daemons; ++i) {
        if (cluster.is_running(i) && cluster.members_of(i).rank() == 0) {
            return i;
        }
    }
    return daemons;
}

} // namespace

BOOST_AUTO_TEST_SUITE(store_sharing)

BOOST_AUTO_TEST_CASE(a_change_of_the_configuration_reaches_all_daemons_at_once)
{
    auto cluster = settled_cluster(daemon_count, 1);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(100ms);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(one_daemon_reads_the_store_for_all)
{
    auto cluster = settled_cluster(daemon_count, 2);
    const auto calls_before = cluster->store.calls;
    cluster->clock.run_for(10s);
    // The reader reads each of the two topics once per second. The limit allows one and a half
    // times as many reads.
    BOOST_TEST(cluster->store.calls - calls_before <= 30U);
}

BOOST_AUTO_TEST_CASE(a_registration_reaches_all_daemons_within_the_bound)
{
    auto cluster = settled_cluster(daemon_count, 3);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->clock.run_for(apply_bound);
    BOOST_TEST(
        all_daemons_know(*cluster, daemon_count, shared_topic::registrations, "plate-1", "ready"));
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_reader_is_killed)
{
    auto cluster = settled_cluster(daemon_count, 4);
    cluster->kill(first_ranked_daemon(*cluster, daemon_count));
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.put(sharing_cluster::registrations, "plate-1", "draining");
    cluster->clock.run_for(apply_bound);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::registrations, "plate-1",
                                "draining"));
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_store_does_not_answer_the_reader)
{
    auto cluster = settled_cluster(daemon_count, 5);
    const auto reader = first_ranked_daemon(*cluster, daemon_count);
    cluster->store.unanswered_callers.insert(cluster->name_of(reader).value);
    cluster->clock.run_for(300ms);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(apply_bound);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
}

// Guards against removals that count as lapses because one daemon's own path to the store was cut.
BOOST_AUTO_TEST_CASE(the_store_is_not_unavailable_while_other_daemons_read_it)
{
    const std::vector<std::pair<std::size_t, bool>> cases{
        {2, false}, {2, true}, {3, true}, {daemon_count, false}, {daemon_count, true}};
    for (const auto& [daemons, refuses_at_once] : cases) {
        auto cluster = settled_cluster(daemons, 6);
        cluster->store.refuses_at_once = refuses_at_once;
        const auto reader = first_ranked_daemon(*cluster, daemons);
        cluster->store.unanswered_callers.insert(cluster->name_of(reader).value);
        cluster->clock.run_for(5500ms);
        cluster->store.unanswered_callers.clear();
        cluster->clock.run_for(3s);
        BOOST_TEST_CONTEXT(daemons << " daemons, refused at once: " << refuses_at_once)
        BOOST_TEST(cluster->unavailable_reports == 0U);
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_the_store_does_not_answer_learns_of_a_change_from_the_others)
{
    // Depending on the wait, the change is made before, while or after another daemon becomes the
    // reader.
    for (auto wait = 0ms; wait < 2500ms; wait += 100ms) {
        for (const std::size_t daemons : {std::size_t{2}, daemon_count}) {
            auto cluster = settled_cluster(daemons, 9);
            const auto reader = first_ranked_daemon(*cluster, daemons);
            cluster->store.unanswered_callers.insert(cluster->name_of(reader).value);
            cluster->clock.run_for(wait);
            cluster->store.put(sharing_cluster::operators, "config", "2");
            cluster->store.put(sharing_cluster::operators, "evacuate/a", "x");
            cluster->clock.run_for(apply_bound);
            BOOST_TEST_CONTEXT(
                daemons << " daemons, change made after the store has not answered the reader for "
                        << wait.count() << " ms")
            {
                BOOST_TEST(
                    all_daemons_know(*cluster, daemons, shared_topic::operators, "config", "2"));
                BOOST_TEST(all_daemons_know(*cluster, daemons, shared_topic::operators,
                                            "evacuate/a", "x"));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_the_store_does_not_answer_requests_a_snapshot_of_missed_records)
{
    auto cluster = settled_cluster(2, 9);
    const auto reader = first_ranked_daemon(*cluster, 2);
    cluster->store.unanswered_callers.insert(cluster->name_of(reader).value);
    cluster->clock.run_for(3s);
    cluster->disconnected.insert(reader);
    for (int i = 0; i < 5; ++i) {
        cluster->store.put(sharing_cluster::operators, "config", std::to_string(i));
        cluster->clock.run_for(1s);
    }
    cluster->disconnected.clear();
    cluster->clock.run_for(2 * apply_bound);
    BOOST_TEST(all_daemons_know(*cluster, 2, shared_topic::operators, "config", "4"));
}

BOOST_AUTO_TEST_CASE(a_daemon_disconnected_from_the_others_reads_the_store_itself)
{
    auto cluster = settled_cluster(daemon_count, 6);
    const auto disconnected = (first_ranked_daemon(*cluster, daemon_count) + 1) % daemon_count;
    cluster->disconnected.insert(disconnected);
    cluster->clock.run_for(1s);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->clock.run_for(apply_bound);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(a_change_during_an_outage_is_known_soon_after_its_end)
{
    auto cluster = settled_cluster(daemon_count, 7);
    cluster->store.unanswered_callers.insert("*");
    cluster->clock.run_for(8s);
    BOOST_TEST(cluster->unavailable_reports == daemon_count);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.unanswered_callers.clear();
    cluster->clock.run_for(3s);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
}

BOOST_AUTO_TEST_CASE(an_outage_costs_each_daemon_at_most_two_calls_a_second)
{
    auto cluster = settled_cluster(daemon_count, 8);
    cluster->store.unanswered_callers.insert("*");
    cluster->clock.run_for(2s);
    const auto calls_before = cluster->store.calls;
    cluster->clock.run_for(5s);
    BOOST_TEST(cluster->store.calls - calls_before <= std::size_t{2} * 5 * daemon_count);
}

BOOST_AUTO_TEST_CASE(daemons_list_the_topics_again_when_records_have_expired)
{
    auto cluster = settled_cluster(daemon_count, 9);
    cluster->store.unanswered_callers.insert("*");
    cluster->clock.run_for(4s);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.compact(sharing_cluster::registrations);
    cluster->store.compact(sharing_cluster::operators);
    cluster->store.unanswered_callers.clear();
    cluster->clock.run_for(3s);
    BOOST_TEST(
        all_daemons_know(*cluster, daemon_count, shared_topic::registrations, "plate-1", "ready"));
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", "2"));
}

// Guards against backend servers and configurations that stay unknown because they did not fit into
// one answer of the store.
BOOST_AUTO_TEST_CASE(records_beyond_the_size_limit_of_an_answer_are_known_within_the_bound)
{
    constexpr int records = 40;
    auto cluster = settled_cluster(daemon_count, 31);
    cluster->store.max_records_per_read = 3;
    for (int i = 0; i < records; ++i) {
        cluster->store.put(sharing_cluster::registrations, "plate-" + std::to_string(i), "ready");
        cluster->store.put(sharing_cluster::operators, "config", std::to_string(i));
    }
    cluster->clock.run_for(apply_bound);
    const auto last = std::to_string(records - 1);
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::registrations,
                                "plate-" + last, "ready"));
    BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", last));
    BOOST_TEST(cluster->unavailable_reports == 0U);
}

BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_the_store_does_not_wake_a_waiting_read)
{
    auto cluster = settled_cluster(daemon_count, 13);
    cluster->store.wakes_waiting_reads = false;
    for (int i = 0; i < 10; ++i) {
        const auto value = std::to_string(i + 2);
        cluster->store.put(sharing_cluster::operators, "config", value);
        cluster->clock.run_for(apply_bound);
        BOOST_TEST(
            all_daemons_know(*cluster, daemon_count, shared_topic::operators, "config", value));
        cluster->clock.run_for(std::chrono::milliseconds(137 * i));
    }
}

// Guards against an older configuration, and a store that is taken for lost, after one waiting read
// got no answer.
BOOST_AUTO_TEST_CASE(daemons_keep_the_bound_when_a_waiting_read_is_lost)
{
    for (auto lost_at = 0ms; lost_at < 1000ms; lost_at += 50ms) {
        for (auto changed_after = 0ms; changed_after < 1600ms; changed_after += 100ms) {
            auto cluster = settled_cluster(daemon_count, 21);
            cluster->clock.run_for(lost_at);
            cluster->store.lose_waiting_reads();
            cluster->clock.run_for(changed_after);
            cluster->store.put(sharing_cluster::operators, "config", "2");
            cluster->clock.run_for(apply_bound);
            BOOST_TEST_CONTEXT("lost at " << lost_at.count() << " ms, changed "
                                          << changed_after.count() << " ms later")
            {
                BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::operators,
                                            "config", "2"));
                BOOST_TEST(cluster->unavailable_reports == 0U);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(all_daemons_know_each_other_soon_after_a_simultaneous_start)
{
    auto cluster = settled_cluster(daemon_count, 10);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        BOOST_TEST(cluster->members_of(i).serving_count() == daemon_count);
    }
}

BOOST_AUTO_TEST_CASE(a_killed_daemon_is_removed_and_added_again_after_its_restart)
{
    auto cluster = settled_cluster(daemon_count, 11);
    cluster->kill(3);
    cluster->clock.run_for(9s);
    BOOST_TEST(cluster->members_of(4).serving_count() == daemon_count - 1);
    cluster->start(3);
    cluster->clock.run_for(3s);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        BOOST_TEST(cluster->members_of(i).serving_count() == daemon_count);
    }
}

BOOST_AUTO_TEST_CASE(a_daemon_that_starts_during_an_outage_learns_from_the_others)
{
    auto cluster = settled_cluster(daemon_count, 15);
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->clock.run_for(2s);
    cluster->store.unanswered_callers.insert("*");
    cluster->kill(3);
    cluster->clock.run_for(1s);
    cluster->start(3);
    cluster->clock.run_for(1s);
    BOOST_TEST(cluster->sharing_of(3).topics_listed());
    BOOST_TEST(cluster->known_value(3, shared_topic::operators, "config") == "1");
    BOOST_TEST(cluster->known_value(3, shared_topic::registrations, "plate-1") == "ready");
}

BOOST_AUTO_TEST_CASE(a_large_change_reaches_all_daemons_in_several_messages)
{
    auto cluster = settled_cluster(daemon_count, 17);
    const std::string large(500, 'x');
    for (int i = 0; i < 400; ++i) {
        cluster->store.put(sharing_cluster::registrations, "plate-" + std::to_string(i), large);
    }
    const auto calls_before = cluster->store.calls;
    cluster->clock.run_for(apply_bound);
    for (int i = 0; i < 400; i += 57) {
        BOOST_TEST(all_daemons_know(*cluster, daemon_count, shared_topic::registrations,
                                    "plate-" + std::to_string(i), large));
    }
    BOOST_TEST(cluster->store.calls - calls_before <= 8U);
}

// Guards against a change that is lost for good when a later part of an answer is lost.
BOOST_AUTO_TEST_CASE(a_change_that_was_renewed_since_is_sent_again_after_a_part_was_lost)
{
    sharing_cluster cluster(2, 9);
    cluster.store.put(sharing_cluster::operators, "config", "1");
    cluster.store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster.start(0);
    cluster.start(1);
    cluster.clock.run_for(6s);
    const auto other = 1 - first_ranked_daemon(cluster, 2);
    cluster.disconnected.insert(other);
    cluster.store.unanswered_callers.insert(cluster.name_of(other).value);
    cluster.store.put(sharing_cluster::registrations, "plate-1", "draining");
    cluster.clock.run_for(1500ms);
    const std::string large(20'000, 'x');
    cluster.store.put(sharing_cluster::registrations, "plate-2", large);
    cluster.store.put(sharing_cluster::registrations, "plate-3", large);
    cluster.store.put(sharing_cluster::registrations, "plate-1", "draining");
    cluster.clock.run_for(1500ms);
    std::size_t parts = 0;
    cluster.is_lost = [&parts](const wire::message& body) {
        return std::holds_alternative<wire::topic_update>(body) &&
               std::get<wire::topic_update>(body).topic == shared_topic::registrations &&
               ++parts == 2;
    };
    cluster.disconnected.clear();
    cluster.clock.run_for(8s);
    BOOST_TEST(parts >= 2U);
    BOOST_TEST(cluster.known_value(other, shared_topic::registrations, "plate-1") == "draining");
}

// Guards against records that get lost between parts of two snapshots with the same end.
BOOST_AUTO_TEST_CASE(parts_of_snapshots_of_two_daemons_are_not_put_together)
{
    sharing_cluster cluster(1, 19);
    cluster.store.unanswered_callers.insert("*");
    cluster.start(0);
    const auto snapshot = [](std::uint64_t id, std::uint32_t part,
                             const std::vector<std::string>& keys) {
        wire::topic_snapshot made{shared_topic::registrations, {0, 9}, 0s, part, 2, {}, id, 0, {}};
        for (const auto& each : keys) {
            made.records.push_back({4, each, "ready"});
        }
        return made;
    };
    auto& daemon = cluster.sharing_of(0);
    daemon.receive({{"vm-1"}, snapshot(1, 0, {"a"})});
    daemon.receive({{"vm-2"}, snapshot(2, 1, {"c"})});
    BOOST_TEST(cluster.known_value(0, shared_topic::registrations, "c").empty());
    daemon.receive({{"vm-2"}, snapshot(2, 0, {"a", "b"})});
    for (const std::string key : {"a", "b", "c"}) {
        BOOST_TEST(cluster.known_value(0, shared_topic::registrations, key) == "ready", key);
    }
}

// Guards against a configuration that comes a round of news late, because the daemon has missed
// registrations too.
BOOST_AUTO_TEST_CASE(a_gap_in_the_registrations_does_not_hide_a_gap_in_the_operators_topic)
{
    auto cluster = settled_cluster(2, 20);
    const auto reader = first_ranked_daemon(*cluster, 2);
    const auto other = 1 - reader;
    cluster->kill(reader);
    cluster->store.put(sharing_cluster::operators, "config", "2");
    cluster->store.put(sharing_cluster::registrations, "plate-1", "ready");
    cluster->store.put(sharing_cluster::registrations, "plate-2", "ready");
    wire::topic_news news;
    news.reader = cluster->name_of(reader);
    news.from = 1;
    news.next = {platform::first_epoch, 2};
    news.records = {{1, "plate-2", "ready"}};
    news.operators_next = {platform::first_epoch, 2};
    news.broadcast_id = 1;
    cluster->sharing_of(other).receive({news.reader, news});
    // Well before the daemon takes over from the reader.
    cluster->clock.run_for(apply_bound / 4);
    BOOST_TEST(cluster->known_value(other, shared_topic::operators, "config") == "2");
}

// Guards against a daemon that tells callers what does not exist by a configuration that may be
// outdated, and against one that doubts the latest one without a reason.
BOOST_AUTO_TEST_CASE(a_daemon_knows_whether_it_may_have_missed_records)
{
    auto cluster = settled_cluster(daemon_count, 22);
    const auto count_current = [&cluster] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            count += cluster->sharing_of(i).is_current(shared_topic::operators) ? 1 : 0;
        }
        return count;
    };
    for (int i = 0; i < 600; ++i) {
        cluster->clock.run_for(50ms);
        BOOST_REQUIRE(count_current() == daemon_count);
    }
    cluster->store.unanswered_callers.insert("*");
    cluster->clock.run_for(2 * apply_bound);
    BOOST_TEST(count_current() == 0U);
    cluster->store.unanswered_callers.clear();
    cluster->clock.run_for(apply_bound);
    BOOST_TEST(count_current() == daemon_count);
    constexpr std::size_t cut_off = 5;
    cluster->disconnected.insert(cut_off);
    cluster->store.unanswered_callers.insert(cluster->name_of(cut_off).value);
    cluster->clock.run_for(2 * apply_bound);
    BOOST_TEST(!cluster->sharing_of(cut_off).is_current(shared_topic::operators));
    BOOST_TEST(count_current() == daemon_count - 1);
}

BOOST_AUTO_TEST_CASE(every_daemon_learns_the_total_request_rate)
{
    auto cluster = settled_cluster(daemon_count, 18);
    for (std::size_t i = 0; i < daemon_count; ++i) {
        // Each daemon receives as many requests per second as its index.
        BOOST_TEST(cluster->sharing_of(i).total_request_rate() == 78.0);
    }
}

BOOST_AUTO_TEST_CASE(each_cold_backend_server_has_two_daemons_that_share_its_rate)
{
    auto cluster = settled_cluster(daemon_count, 12);
    for (const std::string backend : {"plate-1", "plate-2", "plate-3"}) {
        double total_share = 0;
        std::size_t sharers = 0;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            const auto share = cluster->members_of(i).share_of(backend, 2);
            total_share += share;
            sharers += share > 0 ? 1 : 0;
        }
        BOOST_TEST(total_share == 1.0);
        BOOST_TEST(sharers == 2U);
    }
}

// Guards against changes that reach a daemon late. Random schedules combine changes at any moment,
// lost messages, kills, restarts, and a store that does not answer single daemons. Each daemon that
// ran throughout a step and was answered by the store must know the change within the bound.
BOOST_AUTO_TEST_CASE(every_change_is_known_within_the_bound_over_random_schedules)
{
    const auto schedules = test_support::number_from("AZURESHORE_SCHEDULES", 60);
    for (std::uint64_t seed = 0; seed < schedules; ++seed) {
        auto cluster = settled_cluster(daemon_count, seed);
        cluster->message_loss_fraction = 0.05;
        auto random = seeded_random(seed * 31 + 7);
        for (int step = 0; step < 12; ++step) {
            std::set<std::size_t> unanswered;
            const auto victim = uniform_index(random, daemon_count);
            const auto fault = uniform_index(random, 3);
            if (fault == 0 && cluster->is_running(victim)) {
                cluster->kill(victim);
            }
            if (fault == 1) {
                cluster->store.unanswered_callers = {cluster->name_of(victim).value};
                unanswered.insert(victim);
            }
            const auto value = std::to_string(step + 2);
            const auto topic =
                uniform(random) < 0.5 ? shared_topic::operators : shared_topic::registrations;
            cluster->clock.run_for(std::chrono::milliseconds(uniform_index(random, 900)));
            cluster->store.put(topic == shared_topic::operators ? sharing_cluster::operators
                                                                : sharing_cluster::registrations,
                               "key", value);
            cluster->clock.run_for(apply_bound);
            for (std::size_t i = 0; i < daemon_count; ++i) {
                if (cluster->is_running(i) && !unanswered.contains(i)) {
                    BOOST_TEST_CONTEXT("seed " << seed << " step " << step << " vm-" << i)
                    BOOST_TEST(cluster->known_value(i, topic, "key") == value);
                }
            }
            cluster->store.unanswered_callers.clear();
            for (std::size_t i = 0; i < daemon_count; ++i) {
                if (!cluster->is_running(i)) {
                    cluster->start(i);
                }
            }
            cluster->clock.run_for(std::chrono::milliseconds(uniform_index(random, 2000)));
        }
    }
}

// Guards against a gateway that restarts while no other one runs and waits for ever for those that
// announced themselves once: it takes itself for one of many, and knows no owner of a quota.
BOOST_AUTO_TEST_CASE(a_daemon_that_restarts_alone_knows_it_in_time)
{
    constexpr duration recovery_bound = 15s;
    for (const std::size_t daemons : {std::size_t{1}, std::size_t{3}, daemon_count}) {
        for (std::size_t back = 0; back < daemons; ++back) {
            auto cluster = settled_cluster(daemons, 40 + back);
            cluster->first_start = false;
            // The others leave one after the other, so that several of them are announced.
            for (std::size_t i = 0; i < daemons; ++i) {
                if (i != back) {
                    cluster->sharing_of(i).leave();
                    cluster->clock.run_for(500ms);
                    cluster->kill(i);
                }
            }
            cluster->clock.run_for(2s);
            cluster->kill(back);
            cluster->start(back);
            cluster->clock.run_for(recovery_bound - 5s);
            BOOST_TEST_CONTEXT("vm-" << back << " of " << daemons)
            {
                BOOST_TEST(cluster->sharing_of(back).topics_listed());
                BOOST_TEST(cluster->sharing_of(back).members_listed());
                BOOST_TEST(cluster->members_of(back).confirmed_alone());
                BOOST_TEST(cluster->members_of(back).serving_count() == 1U);
            }
        }
    }
}

// Guards against a daemon that takes all common bounds for itself because links are cut.
BOOST_AUTO_TEST_CASE(a_daemon_that_restarts_cut_off_from_the_others_does_not_take_itself_for_alone)
{
    for (std::uint64_t seed = 60; seed < 80; ++seed) {
        auto cluster = settled_cluster(daemon_count, seed);
        cluster->first_start = false;
        const std::size_t cut_off = seed % daemon_count;
        cluster->kill(cut_off);
        cluster->disconnected.insert(cut_off);
        cluster->clock.run_for(std::chrono::milliseconds(seed * 100 % 3000));
        cluster->start(cut_off);
        for (int i = 0; i < 600; ++i) {
            cluster->clock.run_for(100ms);
            BOOST_REQUIRE(!cluster->members_of(cut_off).confirmed_alone());
        }
        cluster->disconnected.clear();
        cluster->clock.run_for(10s);
        BOOST_TEST(cluster->members_of(cut_off).serving_count() == daemon_count);
    }
}

// Guards against daemons that each count as alone, or as one of many, after most were lost.
BOOST_AUTO_TEST_CASE(daemons_that_restart_together_after_a_loss_find_each_other)
{
    for (std::uint64_t seed = 80; seed < 100; ++seed) {
        auto cluster = settled_cluster(daemon_count, seed);
        cluster->first_start = false;
        for (std::size_t i = 0; i < daemon_count; ++i) {
            cluster->kill(i);
        }
        const std::size_t first = seed % daemon_count;
        const std::size_t second = (first + 5) % daemon_count;
        cluster->start(first);
        cluster->clock.run_for(std::chrono::milliseconds(seed * 700 % 12000));
        cluster->start(second);
        cluster->clock.run_for(10s);
        for (const auto each : {first, second}) {
            BOOST_TEST(cluster->sharing_of(each).members_listed(), "seed " << seed);
            BOOST_TEST(!cluster->members_of(each).confirmed_alone(), "seed " << seed);
            BOOST_TEST(cluster->members_of(each).serving_count() == 2U, "seed " << seed);
        }
    }
}

// Guards against daemons that stay without a configuration for good because no message can carry
// it.
BOOST_AUTO_TEST_CASE(daemons_get_a_record_that_no_message_can_carry)
{
    constexpr duration recovery_bound = 15s;
    const auto has_records_of_operators = [](const wire::message& body) {
        const auto* const snapshot = std::get_if<wire::topic_snapshot>(&body);
        const auto* const news = std::get_if<wire::topic_news>(&body);
        return (snapshot != nullptr && snapshot->topic == shared_topic::operators &&
                !snapshot->records.empty()) ||
               (news != nullptr && news->topic == shared_topic::operators &&
                !news->records.empty());
    };
    for (const std::size_t daemons : {std::size_t{2}, daemon_count, std::size_t{60}}) {
        sharing_cluster cluster(daemons, 30 + daemons);
        cluster.is_lost = has_records_of_operators;
        cluster.store.put(sharing_cluster::operators, "config", "1");
        const auto start_all = [&] {
            for (std::size_t i = 0; i < daemons; ++i) {
                cluster.start(i);
            }
            cluster.clock.run_for(recovery_bound);
        };
        const auto all_know = [&](const std::string& value) {
            return all_daemons_know(cluster, daemons, shared_topic::operators, "config", value);
        };
        start_all();
        BOOST_TEST(all_know("1"), "first start of " << daemons);
        cluster.store.put(sharing_cluster::operators, "config", "2");
        cluster.clock.run_for(apply_bound);
        BOOST_TEST(all_know("2"), "change of " << daemons);
        cluster.first_start = false;
        for (std::size_t i = 0; i < daemons; ++i) {
            cluster.kill(i);
        }
        start_all();
        BOOST_TEST(all_know("2"), "restart of all of " << daemons);
        cluster.kill(daemons - 1);
        cluster.start(daemons - 1);
        cluster.clock.run_for(recovery_bound);
        BOOST_TEST(all_know("2"), "restart of one of " << daemons);
    }
}

BOOST_AUTO_TEST_SUITE_END()
