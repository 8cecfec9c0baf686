#include "azureshore/gateway/internal/connection_limit.hpp"
#include "azureshore/gateway/internal/machine_limits.hpp"
#include "azureshore/gateway/internal/request_memory.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

using namespace azureshore;
using namespace azureshore::gateway::detail;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ceiling = 1'000'000;
constexpr std::size_t kept = ceiling / request_memory::kept_divisor;

struct account_at_a_time {
    time_point now{1h};
    std::shared_ptr<request_memory> memory =
        std::make_shared<request_memory>(ceiling, [this] { return this->now; });

    account_at_a_time() { this->memory->set_patience(3s); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(memory_of_requests)

// Guards against large bodies that leave no room for ordinary requests.
BOOST_AUTO_TEST_CASE(a_part_is_kept_for_small_messages)
{
    const account_at_a_time of;
    memory_share large(of.memory);
    BOOST_TEST(!large.resize(ceiling - kept + 1));
    BOOST_TEST(large.resize(ceiling - kept));
    memory_share second(of.memory);
    BOOST_TEST(!second.resize(request_memory::small_bytes + 1));
    BOOST_TEST(second.resize(request_memory::small_bytes));
    memory_share third(of.memory);
    BOOST_TEST(!third.resize(kept));
    BOOST_TEST(of.memory->held_bytes() == large.bytes() + second.bytes());
    BOOST_TEST(of.memory->refusals() == 3);
}

BOOST_AUTO_TEST_CASE(what_a_holder_had_is_free_when_it_ends)
{
    const account_at_a_time of;
    {
        memory_share first(of.memory);
        BOOST_TEST(first.resize(ceiling - kept));
        BOOST_TEST(first.resize(10));
        first.force(2 * ceiling);
        BOOST_TEST(of.memory->held_bytes() == 2 * ceiling);
    }
    BOOST_TEST(of.memory->held_bytes() == 0);
}

// Guards against bodies that stop short of their end and keep others out, and against bodies that
// are broken off while they arrive.
BOOST_AUTO_TEST_CASE(only_a_holder_without_progress_gives_up_its_memory_when_room_is_short)
{
    account_at_a_time of;
    std::vector<int> gave_up;
    std::vector<std::unique_ptr<memory_share>> holders;
    for (int i = 0; i < 3; ++i) {
        auto& made = *holders.emplace_back(std::make_unique<memory_share>(of.memory));
        BOOST_REQUIRE(made.resize(300'000));
        made.may_be_reclaimed([&, i] {
            gave_up.push_back(i);
            holders.at(i)->force(0);
        });
    }
    memory_share next(of.memory);
    of.now += 2s;
    BOOST_TEST(!next.resize(300'000));
    holders.at(0)->progressed(request_memory::progress_bytes);
    // Too little to count.
    holders.at(1)->progressed(1);
    holders.at(2)->must_stay();
    of.now += 1s;
    BOOST_TEST(next.resize(300'000));
    BOOST_TEST(gave_up == std::vector<int>{1});
    BOOST_TEST(of.memory->reclaims() == 1);
    memory_share last(of.memory);
    BOOST_TEST(!last.resize(300'000));
    of.now += 2s;
    BOOST_TEST(last.resize(300'000));
    BOOST_TEST((gave_up == std::vector<int>{1, 0}));
}

// Guards against a holder that is asked to give up its memory while it asks for more.
BOOST_AUTO_TEST_CASE(a_holder_does_not_reclaim_its_own_memory)
{
    account_at_a_time of;
    memory_share only(of.memory);
    BOOST_REQUIRE(only.resize(500'000));
    only.may_be_reclaimed([] { BOOST_ERROR("gave up its own memory"); });
    of.now += 10s;
    BOOST_TEST(!only.resize(ceiling));
    BOOST_TEST(only.bytes() == 500'000);
}

// Guards against ordinary callers that find no connection, and against the end of a request that
// is being handled.
BOOST_AUTO_TEST_CASE(at_the_limit_the_connection_that_waits_for_longest_is_closed)
{
    connection_limit limit(3);
    std::vector<std::optional<connection_limit::place>> places(4);
    std::vector<std::size_t> closed;
    const auto open = [&](std::size_t i) {
        places.at(i).emplace(limit, [&, i] {
            closed.push_back(i);
            places.at(i).reset();
        });
    };
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(limit.make_room());
        open(i);
    }
    places.at(0)->works();
    places.at(1)->works();
    places.at(1)->waits();
    BOOST_TEST(limit.make_room());
    BOOST_TEST(closed == std::vector<std::size_t>{2});
    open(3);
    places.at(1)->works();
    places.at(3)->works();
    BOOST_TEST(!limit.make_room());
    BOOST_TEST(limit.open_connections() == 3);
    BOOST_TEST(limit.closed_for_room() == 1);
}

// Guards against a reserve that leaves no room for the largest body on the smallest machine.
BOOST_AUTO_TEST_CASE(a_body_of_64_mebibytes_fits_on_a_machine_of_112_megabytes)
{
    const auto small = capacity_of(112'000'000, 2870);
    const auto memory = std::make_shared<request_memory>(small.memory_bytes);
    memory_share body(memory);
    BOOST_TEST(body.resize(64UL * 1024UL * 1024UL + request_memory::small_bytes));
    BOOST_TEST(small.connections >= 900);
    BOOST_TEST(capacity_of(512'000'000, 8192).connections >= 3000);
    BOOST_TEST(capacity_of(32'000'000'000, 20'000).connections >= 3000);
}

BOOST_AUTO_TEST_SUITE_END()
