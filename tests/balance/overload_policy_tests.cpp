#include "azureshore/balance/overload_policy.hpp"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace azureshore;
using namespace azureshore::balance;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

// A request with 100 ms of work, 300 ms to its target and 1 s to its deadline.
waiting_request request_at(time_point arrived, std::size_t kind, std::uint32_t priority)
{
    return {{1}, kind, priority, 100ms, arrived, arrived + 300ms, arrived + 1s};
}

struct two_kinds {
    overload_policy policy;
    std::size_t urgent = this->policy.arrived(start, "urgent", 0, 100ms);
    std::size_t other = this->policy.arrived(start, "other", 1, 100ms);
};

// Offers requests of both kinds in turn to a policy whose urgent requests wait, and returns how
// many of each kind were taken out of 400.
std::array<std::size_t, 2> take_while_urgent_ones_wait(two_kinds& kinds, duration wait)
{
    std::array<std::size_t, 2> taken{};
    for (int i = 0; i < 400; ++i) {
        const auto now = start + i * 10ms;
        for (const auto kind : {kinds.urgent, kinds.other}) {
            const auto priority = static_cast<std::uint32_t>(kind == kinds.urgent ? 0 : 1);
            kinds.policy.arrived(now, kind == kinds.urgent ? "urgent" : "other", priority, 100ms);
            if (kinds.policy.admits(now, request_at(now, kind, priority))) {
                ++taken.at(kind);
                kinds.policy.started(now, kind, true);
                kinds.policy.add_wait(now, request_at(now, kind, priority), wait);
            }
        }
    }
    return taken;
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_policy_decisions)

// Late requests ahead of others would make these late as well.
BOOST_AUTO_TEST_CASE(requests_that_can_meet_their_target_go_before_late_ones)
{
    two_kinds kinds;
    const auto late = request_at(start - 250ms, kinds.urgent, 0);
    const auto in_time = request_at(start, kinds.other, 1);
    BOOST_TEST(kinds.policy.goes_before(start, in_time, late));
    BOOST_TEST(!kinds.policy.goes_before(start, late, in_time));
}

BOOST_AUTO_TEST_CASE(the_more_urgent_then_the_shorter_then_the_older_request_goes_first)
{
    two_kinds kinds;
    const auto urgent = request_at(start, kinds.urgent, 0);
    auto other = request_at(start - 10ms, kinds.other, 1);
    BOOST_TEST(kinds.policy.goes_before(start, urgent, other));
    auto shorter = request_at(start, kinds.other, 1);
    shorter.work = 50ms;
    BOOST_TEST(kinds.policy.goes_before(start, shorter, other));
    shorter.work = other.work;
    BOOST_TEST(kinds.policy.goes_before(start, other, shorter));
}

// A deployment with enough capacity must see no refusals by the policy.
BOOST_AUTO_TEST_CASE(without_waits_every_request_is_taken)
{
    two_kinds kinds;
    const auto taken = take_while_urgent_ones_wait(kinds, 0ms);
    BOOST_TEST(taken[0] == 400U);
    BOOST_TEST(taken[1] == 400U);
}

// While urgent requests wait, but would still be in time, only the others are refused, and of these
// not all: the starvation bound.
BOOST_AUTO_TEST_CASE(under_a_shortage_the_least_urgent_kind_is_taken_within_its_bounds)
{
    two_kinds kinds;
    const auto taken = take_while_urgent_ones_wait(kinds, 50ms);
    BOOST_TEST(taken[0] == 400U);
    BOOST_TEST(taken[1] < 250U);
    BOOST_TEST(static_cast<double>(taken[1]) >=
               overload_policy::min_served_share * static_cast<double>(taken[0] + taken[1]) / 2);
}

// Urgent requests must not be refused for their own waits while others take the capacity.
BOOST_AUTO_TEST_CASE(a_kind_is_refused_for_its_own_waits_only_after_the_lesser_kinds)
{
    two_kinds kinds;
    for (int i = 0; i < 10; ++i) {
        kinds.policy.arrived(start, "other", 1, 100ms);
    }
    bool lesser_first = true;
    for (int i = 0; i < 400; ++i) {
        const auto now = start + i * 10ms;
        kinds.policy.arrived(now, "other", 1, 100ms);
        kinds.policy.add_wait(now, request_at(now, kinds.urgent, 0), 200ms);
        lesser_first = lesser_first && (kinds.policy.taken_share(now, kinds.urgent) >= 1 ||
                                        kinds.policy.taken_share(now, kinds.other) <= 0.2);
    }
    BOOST_TEST(lesser_first);
    BOOST_TEST(kinds.policy.taken_share(start + 4s, kinds.urgent) < 1.0);
}

// A daemon that gets a request only now and then must not refuse it because of an old shortage.
BOOST_AUTO_TEST_CASE(a_shortage_is_forgotten_while_no_requests_come)
{
    two_kinds kinds;
    take_while_urgent_ones_wait(kinds, 50ms);
    BOOST_TEST(kinds.policy.taken_share(start + 4s, kinds.other) < 1.0);
    BOOST_TEST(kinds.policy.admits(start + 30s, request_at(start + 30s, kinds.other, 1)));
}

// Guards against refusals on arrival that go on by themselves: a request that is refused never
// waits, so it can't show that the shortage is over.
BOOST_AUTO_TEST_CASE(every_request_is_taken_soon_after_the_last_one_waited)
{
    two_kinds kinds;
    take_while_urgent_ones_wait(kinds, 50ms);
    for (const auto now : {start + 4400ms, start + 4401ms, start + 4402ms}) {
        BOOST_TEST(kinds.policy.taken_share(now, kinds.other) < 1.0);
        BOOST_TEST(kinds.policy.admits(now, request_at(now, kinds.other, 1)));
    }
}

// A request that was refused before is late already, though it arrived just now.
BOOST_AUTO_TEST_CASE(the_first_attempt_is_inferred_from_the_time_that_the_caller_still_waits)
{
    two_kinds kinds;
    BOOST_TEST((kinds.policy.first_attempt_at(start, kinds.other, 5s) == start));
    BOOST_TEST((kinds.policy.first_attempt_at(start, kinds.other, 4400ms) == start - 600ms));
    // Another sort of caller.
    BOOST_TEST((kinds.policy.first_attempt_at(start, kinds.other, 1s) == start));
    BOOST_TEST((kinds.policy.first_attempt_at(start, kinds.urgent, 1s) == start));
    // The longest time is forgotten when no caller states it any longer.
    kinds.policy.first_attempt_at(start + 11s, kinds.other, 4s);
    const auto later = start + 22s;
    BOOST_TEST((kinds.policy.first_attempt_at(later, kinds.other, 4s) == later));
}

// Requests that come too late for their target would make all those behind them late.
BOOST_AUTO_TEST_CASE(late_requests_wait_no_longer_while_their_kind_is_refused)
{
    two_kinds kinds;
    const auto late = request_at(start - 250ms, kinds.other, 1);
    BOOST_TEST(!kinds.policy.is_hopeless(start, late, 0));
    take_while_urgent_ones_wait(kinds, 50ms);
    const auto now = start + 4s;
    BOOST_TEST(kinds.policy.is_hopeless(now, request_at(now - 250ms, kinds.other, 1), 0));
    BOOST_TEST(!kinds.policy.is_hopeless(now, request_at(now - 250ms, kinds.urgent, 0), 0));
}

// The kind that lost too often would starve behind a steady stream of urgent requests.
BOOST_AUTO_TEST_CASE(a_kind_that_is_served_too_seldom_goes_first)
{
    two_kinds kinds;
    for (int i = 0; i < 20; ++i) {
        kinds.policy.arrived(start, "urgent", 0, 100ms);
        kinds.policy.arrived(start, "other", 1, 100ms);
        kinds.policy.started(start, kinds.urgent, true);
    }
    kinds.policy.update_order(start);
    BOOST_TEST(kinds.policy.goes_before(start, request_at(start, kinds.other, 1),
                                        request_at(start, kinds.urgent, 0)));
}

// A request held in a queue in vain comes back to its caller too late for another try.
BOOST_AUTO_TEST_CASE(a_request_too_far_back_in_the_queue_is_hopeless)
{
    two_kinds kinds;
    const auto request = request_at(start + 2s, kinds.other, 1);
    BOOST_TEST(!kinds.policy.is_hopeless(start + 2s, request, 400));
    kinds.policy.set_waiting(start, true);
    for (int i = 0; i < 20; ++i) {
        kinds.policy.started(start + i * 100ms, kinds.other, true);
    }
    // The queue serves ten requests per second.
    BOOST_TEST(!kinds.policy.is_hopeless(start + 2s, request, 5));
    BOOST_TEST(kinds.policy.is_hopeless(start + 2s, request, 40));
}

// An execution that ends after the deadline is of no use to the caller.
BOOST_AUTO_TEST_CASE(a_request_is_not_started_where_it_would_end_after_its_deadline)
{
    const auto request = request_at(start, 0, 0);
    BOOST_TEST(overload_policy::can_end(start, request, 5));
    BOOST_TEST(!overload_policy::can_end(start, request, 13));
    BOOST_TEST(!overload_policy::can_end(start + 950ms, request, 1));
}

// Callers that come back all at once or before there is room are refused again.
BOOST_AUTO_TEST_CASE(refused_requests_come_back_spread_around_the_expected_wait)
{
    two_kinds kinds;
    kinds.policy.set_waiting(start, true);
    for (int i = 0; i < 20; ++i) {
        kinds.policy.started(start + i * 100ms, kinds.other, true);
    }
    const auto random = seeded_random(1);
    const auto first = kinds.policy.retry_after(start + 2s, 100ms, 10, random);
    BOOST_TEST(to_milliseconds(first) > 300.0);
    BOOST_TEST(to_milliseconds(first) < 2000.0);
    BOOST_TEST((kinds.policy.retry_after(start + 2s, 100ms, 10, random) != first));
}

// Backend servers with few slots were always used to the last one, and those that don't slow down
// must be.
BOOST_AUTO_TEST_CASE(the_last_slots_are_spared_only_where_their_use_costs_capacity)
{
    for (std::size_t slots = 1; slots <= 4; ++slots) {
        BOOST_TEST(!overload_policy::is_crowded({slots - 1, 0, slots, 1}));
    }
    BOOST_TEST(!overload_policy::is_crowded({3, 0, 6, 1}));
    BOOST_TEST(overload_policy::is_crowded({4, 0, 6, 1}));
    overload_policy policy;
    BOOST_TEST(policy.crowding_costs_capacity(6));
    for (int i = 0; i < 100; ++i) {
        policy.add_response(1.1, true);
    }
    BOOST_TEST(!policy.crowding_costs_capacity(6));
}

// The last slots speed up the few urgent requests, but not if all were urgent.
BOOST_AUTO_TEST_CASE(only_a_minority_of_urgent_requests_may_crowd_a_backend_server)
{
    two_kinds kinds;
    const auto urgent = request_at(start, kinds.urgent, 0);
    BOOST_TEST(!kinds.policy.may_crowd(start + 100ms, urgent));
    for (int i = 0; i < 8; ++i) {
        kinds.policy.arrived(start, "other", 1, 100ms);
    }
    BOOST_TEST(kinds.policy.may_crowd(start + 100ms, urgent));
    BOOST_TEST(!kinds.policy.may_crowd(start + 10ms, urgent));
    BOOST_TEST(!kinds.policy.may_crowd(start + 100ms, request_at(start, kinds.other, 1)));
}

BOOST_AUTO_TEST_SUITE_END()
