// Removals of backend servers that a daemon was told of by others, and did not see itself.

#include "azureshore/balance/backend_registry.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::balance;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t first_start = 1000;
constexpr std::int64_t later_start = 2000;
constexpr time_point now{100s};

registration plate(std::uint64_t sequence, std::int64_t started_at)
{
    registration registered;
    registered.id = {"plate-1"};
    registered.service = {"catalogue"};
    registered.endpoint = {"10.0.0.1", 80};
    registered.slots = 2;
    registered.sequence = sequence;
    registered.started_at = started_at;
    return registered;
}

backend_registry empty_registry()
{
    return backend_registry({[](const registration&) {},
                             [](const backend_id&, const std::string&) {
                             }});
}

} // namespace

BOOST_AUTO_TEST_SUITE(told_removals)

// Guards against a backend server that gets no requests although it has started again.
BOOST_AUTO_TEST_CASE(a_later_run_in_a_restored_list_is_used_despite_a_told_removal)
{
    auto registry = empty_registry();
    registry.apply_earlier_removal(plate(7, first_start));
    BOOST_TEST(registry.merge_restored_list(now, {plate(1, later_start)}).empty());
    BOOST_TEST(registry.size() == 1U);
}

// Guards against the removal of a backend server that has started again since.
BOOST_AUTO_TEST_CASE(a_told_removal_of_an_earlier_run_keeps_the_later_run)
{
    auto registry = empty_registry();
    registry.apply_registration(plate(7, first_start));
    registry.apply_removal(now, {"plate-1"});
    registry.apply_registration(plate(1, later_start));
    registry.apply_earlier_removal(plate(7, first_start));
    BOOST_TEST(registry.size() == 1U);
}

// Guards against one daemon that leaves a backend server out for good: its renewals are no change
// for the reader, so they are in no news.
BOOST_AUTO_TEST_CASE(a_later_run_left_out_by_one_daemon_is_used_after_its_renewals)
{
    auto reader = empty_registry();
    auto told = empty_registry();
    reader.apply_registration(plate(7, first_start));
    reader.apply_removal(now, {"plate-1"});
    told.apply_earlier_removal(plate(7, first_start));
    reader.merge_restored_list(now, {plate(1, later_start)});
    told.merge_restored_list(now, {plate(1, later_start)});
    BOOST_REQUIRE(reader.size() == 1U);
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
        if (reader.apply_registration(plate(sequence, later_start))) {
            told.apply_registration(plate(sequence, later_start));
        }
    }
    BOOST_TEST(told.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
