#include "azureshore/routing/internal/pool_setup.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;

BOOST_AUTO_TEST_SUITE(voters)

BOOST_AUTO_TEST_CASE(vms_suspected_dead_are_voters_while_the_platform_lists_them)
{
    configuration::effective_configuration effective;
    effective.data_centres[{"maadi"}] = {{"maadi"}, {"cairo"}, true};
    auto service = std::make_shared<configuration::service_config>();
    service->name = {"foundry"};
    service->cells[{"maadi"}] = {};
    effective.services[service->name] = service;
    membership::member_view view;
    view.members = {{{"vm-1"}, {"maadi"}, {}, membership::member_state::live}};
    view.listed_dead = {{"vm-2"}, {"vm-3"}};
    const auto pools = routing::detail::make_pools({"foundry"}, {"vm-1"}, effective, view);
    BOOST_REQUIRE(pools.size() == 1);
    BOOST_TEST(pools.begin()->second.setup.voters.size() == 3);
}

BOOST_AUTO_TEST_SUITE_END()
