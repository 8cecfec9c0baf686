#include "support/routing_cluster.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::fakes;

namespace {

cluster_setup single_vm_setup()
{
    cluster_setup setup;
    setup.vms = 1;
    setup.backends = 3;
    return setup;
}

} // namespace

BOOST_AUTO_TEST_SUITE(single_vm)

BOOST_AUTO_TEST_CASE(a_single_vm_leads_the_pool_and_sends_no_messages)
{
    cluster service(single_vm_setup());
    service.publish();
    service.clock.run_for(seconds(1));
    for (int i = 0; i < 200; ++i) {
        service.begin(0, "lesson", milliseconds(5), seconds(2));
        service.clock.run_for(milliseconds(10));
    }
    service.clock.run_for(seconds(2));
    BOOST_TEST(service.counts.answered == 200U);
    BOOST_TEST(service.counts.messages == 0U);
}

BOOST_AUTO_TEST_CASE(a_request_for_a_service_without_backend_servers_is_refused)
{
    auto setup = single_vm_setup();
    setup.backends = 0;
    cluster service(setup);
    service.publish();
    service.begin(0, "lesson", milliseconds(5), seconds(2));
    service.clock.run_for(seconds(3));
    BOOST_TEST(service.counts.refused == 1U);
}

BOOST_AUTO_TEST_CASE(a_cold_backend_server_warms_up_without_crashing)
{
    auto setup = single_vm_setup();
    cluster service(setup);
    for (auto& each : service.backends) {
        each->start_cold();
    }
    service.publish();
    for (int i = 0; i < 3000; ++i) {
        service.begin(0, "lesson", milliseconds(5), seconds(2));
        service.clock.run_for(milliseconds(2));
    }
    for (const auto& each : service.backends) {
        BOOST_TEST(each->max_load_after_cold_start <= 1U);
        BOOST_TEST(each->crashes == 0U);
    }
    for (const auto& row : service.status_of(0)) {
        BOOST_TEST(row.state == "warm");
    }
}

BOOST_AUTO_TEST_SUITE_END()
