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

std::unique_ptr<member_network> network_of(std::size_t count, std::uint64_t seed = 1)
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

std::vector<vm_id> names(std::size_t count)
{
    std::vector<vm_id> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(member_network::vm_entry_at(i).name);
    }
    return all;
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

BOOST_AUTO_TEST_CASE(the_list_gives_members_and_backend_servers)
{
    auto network = network_of(3);
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

BOOST_AUTO_TEST_CASE(the_version_changes_only_with_the_content)
{
    auto network = network_of(5);
    const auto before = network->table(first)->view()->version;
    network->publish_vm_list(network->vm_list);
    network->run_for(seconds(30));
    BOOST_TEST(network->table(first)->view()->version == before);
    network->kill(second);
    network->run_for(detection_limit);
    BOOST_TEST(network->table(first)->view()->version == before + 1);
}

BOOST_AUTO_TEST_CASE(a_killed_vm_leaves_every_view_while_the_list_still_has_it)
{
    auto network = network_of(5);
    network->kill(third);
    network->run_for(detection_limit);
    BOOST_TEST(all_see(*network, {{"vm-0"}, {"vm-1"}, {"vm-3"}, {"vm-4"}}));
}

BOOST_AUTO_TEST_CASE(a_vm_that_is_not_listed_yet_joins_every_view)
{
    auto network = network_of(4);
    network->start(member_network::vm_entry_at(4));
    network->run_for(seconds(5));
    BOOST_TEST(all_see(*network, names(5)));
}

BOOST_AUTO_TEST_CASE(a_vm_that_the_list_lost_stays_while_it_lives)
{
    auto network = network_of(4);
    const auto full = network->vm_list;
    network->publish_vm_list({});
    network->run_for(seconds(20));
    BOOST_TEST(all_see(*network, names(4)));
}

BOOST_AUTO_TEST_CASE(a_leaving_vm_is_leaving_in_every_view_and_stays_a_member)
{
    auto network = network_of(5);
    network->table(second)->leave(network->now);
    network->run_for(seconds(3));
    for (const auto& each : network->running()) {
        BOOST_TEST((state_in(network->table(each)->view(), second) == member_state::leaving));
    }
}

BOOST_AUTO_TEST_CASE(a_vm_that_the_list_calls_leaving_is_leaving)
{
    auto network = network_of(3);
    auto entries = network->vm_list;
    entries[1].state = platform::vm_state::leaving;
    network->publish_vm_list(entries);
    for (const auto& each : network->running()) {
        BOOST_TEST((state_in(network->table(each)->view(), second) == member_state::leaving));
    }
}

BOOST_AUTO_TEST_CASE(a_restarted_vm_is_live_again_whatever_was_known_of_its_last_run)
{
    // Before it was missed, after it was declared dead, and after it said that it leaves.
    for (const auto absence : {seconds(0), seconds(15)}) {
        for (const bool left : {false, true}) {
            auto network = network_of(5);
            if (left) {
                network->table(third)->leave(network->now);
                network->run_for(seconds(2));
            }
            network->kill(third);
            network->run_for(absence);
            network->start(member_network::vm_entry_at(2));
            network->run_for(seconds(3));
            BOOST_TEST(all_see(*network, names(5)));
            for (const auto& each : network->running()) {
                BOOST_TEST((state_in(network->table(each)->view(), third) == member_state::live));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_vm_that_speaks_with_an_old_incarnation_is_told_in_the_first_answer)
{
    auto network = network_of(5);
    network->table(third)->leave(network->now);
    network->run_for(seconds(2));
    network->kill(third);
    network->start(member_network::vm_entry_at(2));
    std::optional<bool> told;
    network->on_send = [&](const wire::envelope& sent) {
        const auto& beat = std::get<wire::heartbeat>(sent.body);
        const bool to_third = beat.purpose == wire::heartbeat_purpose::answer &&
                              beat.origin == third && beat.subject == sent.from;
        if (to_third && !told) {
            told = !beat.rumours.empty() && beat.rumours.front().subject == third;
        }
    };
    network->run_for(seconds(2));
    BOOST_TEST(told.value_or(false));
}

BOOST_AUTO_TEST_CASE(a_paused_vm_accuses_nobody_when_it_returns)
{
    auto network = network_of(5);
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
    BOOST_TEST(all_see(*network, names(5)));
}

BOOST_AUTO_TEST_CASE(a_suspicion_does_not_run_out_while_the_vm_that_holds_it_is_paused)
{
    // Some of these waits end while the third VM suspects the second.
    for (int wait_ms = 1000; wait_ms <= 5000; wait_ms += 250) {
        auto network = network_of(5);
        network->kill(second);
        network->run_for(std::chrono::milliseconds(wait_ms));
        const bool gone = network->members_seen_by(third).size() < 5;
        network->pause(third);
        network->start(member_network::vm_entry_at(1));
        network->run_for(seconds(20));
        bool lost_a_member = false;
        network->on_view_change = [&](const vm_id& name, const view_pointer& view) {
            lost_a_member = lost_a_member || (name == third && view->members.size() < 5);
        };
        network->resume(third);
        network->run_for(seconds(10));
        BOOST_TEST((gone || !lost_a_member));
        BOOST_TEST(all_see(*network, names(5)));
    }
}

BOOST_AUTO_TEST_CASE(a_one_way_cut_between_two_vms_removes_neither)
{
    auto network = network_of(5);
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
    auto network = network_of(6);
    for (const auto& left : names(3)) {
        for (std::size_t i = 3; i < 6; ++i) {
            network->cut_link(left, member_network::vm_entry_at(i).name);
            network->cut_link(member_network::vm_entry_at(i).name, left);
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
    BOOST_TEST(all_see(*network, names(6)));
    BOOST_TEST(!lost_a_member);
}

BOOST_AUTO_TEST_CASE(heartbeats_carry_the_revision_in_force)
{
    auto network = network_of(3);
    std::uint64_t told = 0;
    network->on_send = [&](const wire::envelope& sent) {
        if (sent.from == first) {
            told = std::get<wire::heartbeat>(sent.body).revision;
        }
    };
    network->table(first)->set_revision(42);
    network->run_for(seconds(1));
    BOOST_TEST(told == 42U);
}

BOOST_AUTO_TEST_CASE(a_vm_in_no_view_still_has_an_address)
{
    auto network = network_of(3);
    network->kill(third);
    network->run_for(detection_limit);
    BOOST_TEST((network->table(first)->address_of(third) == member_network::vm_entry_at(2).where));
    BOOST_TEST(!network->table(first)->address_of({"vm-9"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
