#include "azureshore/balance/backend_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::balance;
using namespace std::chrono_literals;

namespace {

registration plate(std::uint64_t sequence, std::int64_t started_at = 1000)
{
    registration made;
    made.id = {"plate-1"};
    made.service = {"catalogue"};
    made.endpoint = {"10.0.0.1", 80};
    made.slots = 2;
    made.sequence = sequence;
    made.started_at = started_at;
    return made;
}

struct watched_registry {
    watched_registry()
        : registry({[this](const registration& now_known) { this->changed.push_back(now_known); },
                    [this](const backend_id&, const std::string& why) {
                        this->removed.push_back(why);
                    }})
    {
    }

    std::vector<registration> changed;
    std::vector<std::string> removed;
    time_point now = time_point(100s);
    backend_registry registry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(backend_registrations)

BOOST_AUTO_TEST_CASE(a_registration_that_only_counts_on_is_no_change)
{
    watched_registry of;
    BOOST_TEST(of.registry.apply_registration(plate(1)));
    BOOST_TEST(!of.registry.apply_registration(plate(2)));
    BOOST_TEST(of.changed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(the_time_that_passes_for_a_cold_server_is_no_change)
{
    watched_registry of;
    auto cold = plate(1);
    cold.cold_remaining = 3s;
    of.registry.apply_registration(cold);
    cold.sequence = 2;
    cold.cold_remaining = 2s;
    BOOST_TEST(!of.registry.apply_registration(cold));
    cold.sequence = 3;
    cold.cold_remaining = 4s;
    BOOST_TEST(of.registry.apply_registration(cold));
}

BOOST_AUTO_TEST_CASE(an_older_record_of_the_same_run_is_left_out)
{
    watched_registry of;
    auto draining = plate(5);
    draining.draining = true;
    of.registry.apply_registration(draining);
    of.registry.apply_registration(plate(4));
    BOOST_TEST(of.changed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_new_run_under_the_same_name_counts_anew)
{
    watched_registry of;
    of.registry.apply_registration(plate(9));
    BOOST_TEST(of.registry.apply_registration(plate(1, 2000)));
    BOOST_TEST(!of.registry.apply_registration(plate(10)));
}

BOOST_AUTO_TEST_CASE(a_withdrawn_registration_is_gone_at_once)
{
    watched_registry of;
    of.registry.apply_registration(plate(1));
    of.registry.apply_removal(of.now, {"plate-1"});
    BOOST_TEST(of.removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_late_record_does_not_bring_a_gone_server_back)
{
    watched_registry of;
    of.registry.apply_registration(plate(3));
    of.registry.apply_removal(of.now, {"plate-1"});
    BOOST_TEST(!of.registry.apply_registration(plate(2)));
    BOOST_TEST(of.registry.size() == 0U);
    BOOST_TEST(of.registry.apply_registration(plate(4)));
}

BOOST_AUTO_TEST_CASE(a_registration_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return)
{
    watched_registry of;
    of.registry.apply_registration(plate(1));
    of.registry.store_became_unavailable();
    of.registry.store_became_available(of.now);
    of.registry.apply_removal(of.now + 10ms, {"plate-1"});
    BOOST_TEST(of.removed.empty());
    of.registry.tick(of.now + 2s);
    BOOST_TEST(of.removed.empty());
    of.registry.tick(of.now + 3s);
    BOOST_TEST(of.removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_lapsed_registration_that_returns_is_not_dropped)
{
    watched_registry of;
    of.registry.apply_registration(plate(1));
    of.registry.store_became_unavailable();
    of.registry.store_became_available(of.now);
    of.registry.apply_removal(of.now, {"plate-1"});
    BOOST_TEST(of.registry.apply_registration(plate(2)));
    of.registry.tick(of.now + 5s);
    BOOST_TEST(of.removed.empty());
}

BOOST_AUTO_TEST_CASE(a_draining_server_that_is_withdrawn_in_an_outage_is_gone_at_once)
{
    watched_registry of;
    auto draining = plate(2);
    draining.draining = true;
    of.registry.apply_registration(draining);
    of.registry.store_became_unavailable();
    of.registry.store_became_available(of.now);
    of.registry.apply_removal(of.now, {"plate-1"});
    BOOST_TEST(of.removed.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_server_that_a_whole_list_lacks_is_gone)
{
    watched_registry of;
    of.registry.apply_registration(plate(1));
    of.registry.apply_full_list(of.now, {});
    BOOST_TEST(of.removed.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
