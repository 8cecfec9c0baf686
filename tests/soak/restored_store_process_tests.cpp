// Gateways as processes whose store comes back from a backup.

#include "deployment/small_deployment.hpp"

using namespace azureshore;
using namespace azureshore::testing;

BOOST_AUTO_TEST_SUITE(gateways_as_processes)

// Gateways that compare offsets of before and after a restore drop the new configuration.
BOOST_AUTO_TEST_CASE(after_a_restore_a_new_route_is_served_by_every_gateway)
{
    settled_deployment of(5);
    of.place.store.take_backup();
    for (int i = 0; i < 3; ++i) {
        of.place.configure(false);
    }
    of.await_logged("event=configuration_in_force version=4");
    of.restore_store();
    of.expect_served(written_again_after);
    of.place.write_operators_records_again();
    of.expect_served(milliseconds(1500));
    of.place.configure(true);
    const auto until = steady_now() + configuration_bound;
    for (const auto& vm : of.place.gateways) {
        int status = of.ask(vm, "/extra/");
        while (status != status_ok && steady_now() < until) {
            status = of.ask(vm, "/extra/");
        }
        BOOST_TEST(status == status_ok, vm.name << " answers the new route with " << status);
    }
    of.check();
}

// A configuration that the store has lost must not give way to the older one that it still has.
BOOST_AUTO_TEST_CASE(a_route_in_force_stays_in_force_while_a_restored_store_lacks_it)
{
    settled_deployment of(3);
    of.place.store.take_backup();
    of.place.configure(true);
    of.await_logged("event=configuration_in_force version=2");
    of.restore_store();
    of.expect_served(written_again_after, "/extra/");
    of.place.write_operators_records_again();
    of.expect_served(milliseconds(2000), "/extra/");
    of.check();
}

// A gateway that starts learns from the others what the store has lost. Several times, as it does
// not always hear from them before it has read the store.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_while_a_restored_store_lacks_a_route_knows_it)
{
    settled_deployment of(3);
    auto& vm = of.place.gateways.back();
    const auto in_force = [](int version) {
        return "event=configuration_in_force version=" + std::to_string(version);
    };
    for (int version = 2; version < 10; version += 2) {
        of.place.configure(false);
        of.await_logged(in_force(version));
        of.place.store.take_backup();
        of.place.configure(true);
        of.await_logged(in_force(version + 1));
        of.restore_store();
        vm.process.reset();
        of.place.start(vm);
        std::size_t not_found = 0;
        const auto until = steady_now() + written_again_after;
        while (steady_now() < until) {
            not_found += of.ask(vm, "/extra/") == status_not_found ? 1 : 0;
        }
        of.place.write_operators_records_again();
        BOOST_TEST(eventually([&] {
            const auto status = of.ask(vm, "/extra/");
            not_found += status == status_not_found ? 1 : 0;
            return status == status_ok;
        }));
        BOOST_TEST(not_found == 0U);
    }
    of.check();
}

// The record that takes a data centre out of service is lost for a moment, the order is not.
BOOST_AUTO_TEST_CASE(a_data_centre_out_of_service_gets_nothing_while_a_restored_store_lacks_it)
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
    of.expect_served(written_again_after);
    of.place.write_operators_records_again();
    of.expect_served(milliseconds(2000));
    of.check();
}

// The older registration in a restored store says that the backend server is ready.
BOOST_AUTO_TEST_CASE(a_draining_backend_server_gets_nothing_because_of_a_restored_registration)
{
    settled_deployment of(3);
    auto& leaving = *of.place.backends.front();
    of.place.store.take_backup();
    leaving.drain();
    of.place.heartbeat();
    of.await_logged("state=draining");
    leaving.forbid_from(steady_now());
    of.restore_store();
    of.expect_served(registered_again_after);
    of.place.heartbeat();
    of.expect_served(milliseconds(2000));
    of.check();
}

// A backend server that left without a word is in the restored store as if it were there.
BOOST_AUTO_TEST_CASE(a_backend_server_that_is_gone_gets_nothing_because_of_a_restored_registration)
{
    settled_deployment of(3);
    auto& leaving = *of.place.backends.front();
    of.place.store.take_backup();
    leaving.stop_registering();
    of.place.store.put("keyed.servers", leaving.id(), std::nullopt);
    of.await_logged("event=backend_removed backend=" + leaving.id());
    leaving.forbid_from(steady_now());
    of.restore_store();
    of.expect_served(registered_again_after);
    of.place.heartbeat();
    of.expect_served(milliseconds(2000));
    of.check();
}

// The other gateways know that the backend server drains.
BOOST_AUTO_TEST_CASE(a_gateway_that_starts_with_a_restored_store_sends_nothing_to_one_that_drains)
{
    settled_deployment of(3);
    // In the data centre of the gateway that starts, which prefers it.
    auto& leaving = *of.place.backends.back();
    BOOST_REQUIRE(leaving.data_centre() == of.place.gateways.back().data_centre);
    of.place.store.take_backup();
    leaving.drain();
    of.place.heartbeat();
    of.await_logged("state=draining");
    leaving.forbid_from(steady_now());
    of.restore_store();
    of.restart_one_and_ask(registered_again_after);
    of.place.heartbeat();
    of.expect_served(milliseconds(2000));
    of.check();
}

// Without what was known before the restore there would be no route and no backend server.
BOOST_AUTO_TEST_CASE(requests_are_served_while_a_restored_store_has_no_records_at_all)
{
    settled_deployment of(3);
    of.restore_store();
    of.expect_served(written_again_after);
    of.place.write_operators_records_again();
    of.expect_served(registered_again_after - written_again_after);
    of.place.heartbeat();
    of.expect_served(milliseconds(2000));
    of.check();
}

BOOST_AUTO_TEST_SUITE_END()
