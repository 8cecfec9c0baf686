// A gateway that starts with a restored store.

#include "deployment/small_deployment.hpp"

using namespace azureshore;
using namespace azureshore::testing;

BOOST_AUTO_TEST_SUITE(restored_start)

// What the store has lost is known to the other gateways.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_while_a_restored_store_lacks_it_leaves_a_data_centre_out)
{
    settled_deployment of(3);
    const auto out = of.place.data_centres().front();
    of.place.store.take_backup();
    of.place.set_out_of_service(out, true);
    of.await_logged("data_centre=" + out + " in_service=false");
    for (const auto& each : of.place.backends) {
        if (each->data_centre() == out) {
            each->forbid_from(steady_now() + out_of_service_bound);
        }
    }
    of.expect_served(out_of_service_bound);
    of.restore_store();
    of.restart_one_and_ask(written_again_after);
    of.place.write_operators_records_again();
    of.expect_served(milliseconds(2000));
    of.check();
}

// The other gateways know that the backend server is gone.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_with_a_restored_store_sends_nothing_to_one_that_is_gone)
{
    settled_deployment of(3);
    // In the data centre of the gateway that starts, which prefers it.
    auto& leaving = *of.place.backends.back();
    BOOST_REQUIRE(leaving.data_centre() == of.place.gateways.back().data_centre);
    of.place.store.take_backup();
    leaving.stop_registering();
    of.place.store.put("keyed.servers", leaving.id(), std::nullopt);
    of.await_logged("event=backend_removed backend=" + leaving.id());
    leaving.forbid_from(steady_now());
    of.restore_store();
    of.restart_one_and_ask(registered_again_after);
    of.place.heartbeat();
    of.expect_served(milliseconds(2000));
    of.check();
}

BOOST_AUTO_TEST_SUITE_END()
