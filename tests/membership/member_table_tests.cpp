#include "support/member_network.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::membership;
using azureshore::test_support::member_network;
using std::chrono::seconds;

namespace {

constexpr auto detection_limit = seconds(10);
const vm_id first{"vm-0"};
const vm_id second{"vm-1"};
const vm_id third{"vm-2"};

std::unique_ptr<member_network> start_network(std::size_t count, std::uint64_t seed = 1)
{
    auto network = std::make_unique<member_network>(seed);
    for (std::size_t i = 0; i < count; ++i) {
        network->vm_list.push_back(member_network::vm_entry_at(i));
    }
    for (std::size_t i = 0; i < count; ++i) {
        network->start(member_network::vm_entry_at(i));
    }
    network->run_for(seconds(5));
    return network;
}

bool all_see(member_network& network, const std::vector<vm_id>& expected)
{
    const auto running = network.running();
    return std::all_of(running.begin(), running.end(), [&](const vm_id& each) {
        return network.members_seen_by(each) == expected;
    });
}

std::vector<vm_id> first_names(std::size_t count)
{
    std::vector<vm_id> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(member_network::vm_entry_at(i).name);
    }
    return names;
}

member_state state_in(const view_pointer& view, const vm_id& name)
{
    const auto found = std::find_if(view->members.begin(), view->members.end(),
                                    [&](const member& each) { return each.name == name; });
    BOOST_REQUIRE((found != view->members.end()));
    return found->state;
}

} // namespace

BOOST_AUTO_TEST_SUITE(member_tables)

BOOST_AUTO_TEST_CASE(the_view_shows_members_and_backend_servers_of_the_list)
{
    auto network = start_network(3);
    auto entries = network->vm_list;
    entries.push_back({{"plate-2"}, {"maadi"}, {"catalogue"}, {"10.0.0.2", 80}});
    entries.push_back(
        {{"plate-1"}, {"maadi"}, {"catalogue"}, {"10.0.0.1", 80}, platform::vm_state::leaving});
    network->publish_vm_list(entries);
    const auto view = network->table(first)->view();
    BOOST_REQUIRE(view->backends.size() == 2);
    BOOST_TEST(view->backends[0].name.value == "plate-1");
    BOOST_TEST(view->backends[0].leaving);
    BOOST_TEST(!view->backends[1].leaving);
    BOOST_TEST(view->members.size() == 3);
}

BOOST_AUTO_TEST_CASE(the_view_version_changes_only_with_the_content)
{
    auto network = start_network(5);
    const auto before = network->table(first)->view()->version;
    network->publish_vm_list(network->vm_list);
    network->run_for(seconds(30));
    BOOST_TEST(network->table(first)->view()->version == before);
    network->kill(second);
    network->run_for(detection_limit);
    BOOST_TEST(network->table(first)->view()->version == before + 1);
}

BOOST_AUTO_TEST_CASE(a_killed_vm_disappears_from_every_view_while_still_listed)
{
    auto network = start_network(5);
    network->kill(third);
    network->run_for(detection_limit);
    BOOST_TEST(all_see(*network, {{"vm-0"}, {"vm-1"}, {"vm-3"}, {"vm-4"}}));
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_not_listed_yet_joins_every_view)
{
    auto network = start_network(4);
    network->start(member_network::vm_entry_at(4));
    network->run_for(seconds(5));
    BOOST_TEST(all_see(*network, first_names(5)));
}

BOOST_AUTO_TEST_CASE(a_live_vm_that_the_list_no_longer_shows_stays_a_member)
{
    auto network = start_network(4);
    const auto full = network->vm_list;
    network->publish_vm_list({});
    network->run_for(seconds(20));
    BOOST_TEST(all_see(*network, first_names(4)));
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_is_leaving_in_every_view_and_stays_a_member)
{
    auto network = start_network(5);
    network->table(second)->leave(network->now);
    network->run_for(seconds(3));
    for (const auto& each : network->running()) {
        BOOST_TEST((state_in(network->table(each)->view(), second) == member_state::leaving));
    }
}

BOOST_AUTO_TEST_CASE(a_vm_listed_as_leaving_is_leaving_in_every_view)
{
    auto network = start_network(3);
    auto entries = network->vm_list;
    entries[1].state = platform::vm_state::leaving;
    network->publish_vm_list(entries);
    for (const auto& each : network->running()) {
        BOOST_TEST((state_in(network->table(each)->view(), second) == member_state::leaving));
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_vm_becomes_live_whatever_the_state_of_its_last_run)
{
    // Covers restarts before the VM is suspected and after it is declared dead, each with and
    // without an announcement that it leaves.
    for (const auto downtime : {seconds(0), seconds(15)}) {
        for (const bool leaves_first : {false, true}) {
            auto network = start_network(5);
            if (leaves_first) {
                network->table(third)->leave(network->now);
                network->run_for(seconds(2));
            }
            network->kill(third);
            network->run_for(downtime);
            network->start(member_network::vm_entry_at(2));
            network->run_for(seconds(3));
            BOOST_TEST(all_see(*network, first_names(5)));
            for (const auto& each : network->running()) {
                BOOST_TEST((state_in(network->table(each)->view(), third) == member_state::live));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(the_first_answer_corrects_a_vm_with_an_outdated_incarnation)
{
    auto network = start_network(5);
    network->table(third)->leave(network->now);
    network->run_for(seconds(2));
    network->kill(third);
    network->start(member_network::vm_entry_at(2));
    std::optional<bool> corrected;
    network->on_send = [&](const wire::envelope& sent) {
        const auto& heartbeat = std::get<wire::heartbeat>(sent.body);
        const bool to_third = heartbeat.purpose == wire::heartbeat_purpose::answer &&
                              heartbeat.origin == third && heartbeat.subject == sent.from;
        if (to_third && !corrected) {
            corrected = !heartbeat.rumours.empty() && heartbeat.rumours.front().subject == third;
        }
    };
    network->run_for(seconds(2));
    BOOST_TEST(corrected.value_or(false));
}

BOOST_AUTO_TEST_CASE(a_resumed_vm_declares_no_other_vm_dead)
{
    auto network = start_network(5);
    network->pause(third);
    network->run_for(seconds(20));
    BOOST_TEST(network->members_seen_by(first).size() == 4);
    bool lost_a_member = false;
    network->on_view_change = [&](const vm_id&, const view_pointer& view) {
        lost_a_member = lost_a_member || view->members.size() < 4;
    };
    network->resume(third);
    network->run_for(seconds(15));
    BOOST_TEST(!lost_a_member);
    BOOST_TEST(all_see(*network, first_names(5)));
}

BOOST_AUTO_TEST_CASE(a_suspicion_does_not_expire_while_the_suspecting_vm_is_paused)
{
    // Some of these waits end while the third VM suspects the second one.
    for (int wait_ms = 1000; wait_ms <= 5000; wait_ms += 250) {
        auto network = start_network(5);
        network->kill(second);
        network->run_for(std::chrono::milliseconds(wait_ms));
        const bool already_removed = network->members_seen_by(third).size() < 5;
        network->pause(third);
        network->start(member_network::vm_entry_at(1));
        network->run_for(seconds(20));
        bool lost_a_member = false;
        network->on_view_change = [&](const vm_id& name, const view_pointer& view) {
            lost_a_member = lost_a_member || (name == third && view->members.size() < 5);
        };
        network->resume(third);
        network->run_for(seconds(10));
        BOOST_TEST((already_removed || !lost_a_member));
        BOOST_TEST(all_see(*network, first_names(5)));
    }
}

BOOST_AUTO_TEST_CASE(a_link_cut_in_one_direction_removes_neither_vm)
{
    auto network = start_network(5);
    bool changed = false;
    network->on_view_change = [&](const vm_id&, const view_pointer&) {
        changed = true;
    };
    network->cut_link(first, second);
    network->run_for(seconds(60));
    BOOST_TEST(!changed);
}

BOOST_AUTO_TEST_CASE(both_sides_of_a_healed_partition_find_each_other)
{
    auto network = start_network(6);
    for (const auto& left_side : first_names(3)) {
        for (std::size_t i = 3; i < 6; ++i) {
            network->cut_link(left_side, member_network::vm_entry_at(i).name);
            network->cut_link(member_network::vm_entry_at(i).name, left_side);
        }
    }
    network->run_for(std::chrono::minutes(3));
    BOOST_TEST(network->members_seen_by(first).size() == 3);
    bool lost_a_member = false;
    network->on_view_change = [&](const vm_id&, const view_pointer& view) {
        lost_a_member = lost_a_member || view->members.size() < 3;
    };
    network->heal_links();
    network->run_for(seconds(30));
    BOOST_TEST(all_see(*network, first_names(6)));
    BOOST_TEST(!lost_a_member);
}

BOOST_AUTO_TEST_CASE(heartbeats_carry_the_configuration_revision)
{
    auto network = start_network(3);
    std::uint64_t sent_revision = 0;
    network->on_send = [&](const wire::envelope& sent) {
        if (sent.from == first) {
            sent_revision = std::get<wire::heartbeat>(sent.body).revision;
        }
    };
    network->table(first)->set_revision(42);
    network->run_for(seconds(1));
    BOOST_TEST(sent_revision == 42U);
}

BOOST_AUTO_TEST_CASE(the_address_of_a_dead_vm_is_still_known)
{
    auto network = start_network(3);
    network->kill(third);
    network->run_for(detection_limit);
    BOOST_TEST((network->table(first)->address_of(third) == member_network::vm_entry_at(2).where));
    BOOST_TEST(!network->table(first)->address_of({"vm-9"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
