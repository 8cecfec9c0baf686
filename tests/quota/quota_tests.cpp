#include "quota/quota_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace std::chrono_literals;
using test::quota_simulation;

namespace {

balance::client_account account(const std::string& name, double rate, double burst)
{
    balance::client_account made;
    made.name = {name};
    made.rate = rate;
    made.burst = burst;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(quota_in_calm)

// Guards against a message, or a wait, for accounts that have no quota.
BOOST_AUTO_TEST_CASE(an_account_without_a_limit_is_granted_at_once)
{
    quota_simulation fleet(3, 1, {account("free", 0, 0)});
    fleet.request(0, {"free"});
    BOOST_TEST(fleet.decided[{"free"}].granted == 1);
    BOOST_TEST(fleet.total_counts().queries_sent == 0);
}

// Guards against a deployment of one gateway that waits for other owners for ever, or that grants
// only one owner's half.
BOOST_AUTO_TEST_CASE(a_single_gateway_grants_the_whole_quota)
{
    quota_simulation fleet(1, 2, {account("only", 20, 10)});
    const auto end = fleet.clock.now() + 21s;
    fleet.load({"only"}, 120, end, false);
    fleet.clock.run_until(end + 1s);
    BOOST_TEST(fleet.decided[{"only"}].granted >= 20 * 20);
    BOOST_TEST(fleet.worst_window({"only"}) <= 1);
}

// Guards against accounts at six times their quota that get more than the bound or much less than
// the quota, and against a message for each request that is refused.
BOOST_AUTO_TEST_CASE(an_account_at_six_times_its_quota_gets_the_quota)
{
    quota_simulation fleet(108, 3, {account("large", 260, 260)});
    fleet.clock.run_for(5s);
    const auto end = fleet.clock.now() + 20s;
    fleet.load({"large"}, 1560, end, false);
    fleet.clock.run_until(end + 1s);
    BOOST_TEST(fleet.worst_window({"large"}) <= 1);
    BOOST_TEST(fleet.decided[{"large"}].granted >= 0.95 * 20 * 260);
    BOOST_TEST(fleet.decided[{"large"}].unavailable == 0);
    BOOST_TEST(fleet.total_counts().queries_sent <= 20 * 400);
}

// Guards against refusals of small accounts, whose rate makes a fraction of a token at each
// gateway, and of large ones within their quota.
BOOST_AUTO_TEST_CASE(nothing_within_the_quota_is_refused_by_108_gateways)
{
    std::vector<balance::client_account> accounts;
    double rate = 260;
    for (int i = 0; i < 76; ++i) {
        accounts.push_back(account("a" + std::to_string(i), rate, std::max(2.0, rate / 2)));
        rate = std::max(1.0, rate * 0.9);
    }
    quota_simulation fleet(108, 4, accounts);
    fleet.clock.run_for(10s);
    const auto end = fleet.clock.now() + 30s;
    for (const auto& each : accounts) {
        fleet.load(each.name, 0.8 * each.rate, end, true);
    }
    fleet.clock.run_until(end + 1s);
    for (const auto& each : accounts) {
        BOOST_TEST_CONTEXT(each.name << " with " << each.rate)
        {
            BOOST_TEST(fleet.decided[each.name].granted > 0);
            BOOST_TEST(fleet.decided[each.name].exceeded == 0);
            BOOST_TEST(fleet.decided[each.name].unavailable == 0);
            BOOST_TEST(fleet.worst_window(each.name) <= 1);
        }
    }
}

// Guards against a token that is given back for a request that was not sent and is lost, and
// against one that is used after it has expired.
BOOST_AUTO_TEST_CASE(a_token_given_back_is_used_until_it_expires)
{
    test::virtual_clock clock;
    quota::quota_hooks hooks;
    hooks.clock = [&] {
        return clock.now();
    };
    hooks.after = [&](duration delay, std::function<void()> action) {
        clock.after(delay, std::move(action));
    };
    hooks.send = [](const vm_id&, const wire::message&) {
    };
    hooks.random = seeded_random(1);
    quota::quota_keeper keeper({"g0"}, {}, hooks);
    keeper.set_accounts({account("slow", 0.01, 1)});
    keeper.set_owners([](const account_id&) { return std::vector<vm_id>{{"g0"}}; });
    clock.run_for(150s);
    std::size_t granted = 0;
    const auto take = [&] {
        keeper.take({"slow"}, [&](const balance::quota_answer& answer) {
            granted += answer.decision == balance::quota_decision::granted ? 1 : 0;
        });
    };
    take();
    take();
    BOOST_TEST(granted == 1);
    keeper.give_back({"slow"}, clock.now());
    take();
    BOOST_TEST(granted == 2);
    const auto taken_at = clock.now();
    clock.run_for(300ms);
    keeper.give_back({"slow"}, taken_at);
    take();
    BOOST_TEST(granted == 2);
}

BOOST_AUTO_TEST_SUITE_END()
