#include "outcomes/cluster.hpp"
#include "outcomes/transcript.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::outcomes;
using namespace azureshore::outcomes::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vm_1 = 0;
constexpr std::size_t vm_2 = 1;
constexpr std::size_t vm_3 = 2;

run_once_limits one_stream()
{
    run_once_limits limits;
    limits.partitions = 1;
    return limits;
}

// Three VMs whose decisions are recorded in a transcript.
class recorded_cluster : public cluster {
public:
    recorded_cluster() : cluster(7, 3, 4, {}, one_stream())
    {
        this->on_decision = [this](const vm_id& vm, const std::string& line) {
            this->recorded.add_line(this->time.now(), vm.value + "  " + line);
        };
        this->pass(20ms);
    }

    void pass(duration span) { this->time.run_until(this->time.now() + span); }

    void event(const std::string& line) { this->recorded.add_line(this->time.now(), "* " + line); }

    std::uint64_t ask(std::size_t vm, std::uint64_t order, const std::string& key,
                      bool idempotent = false)
    {
        this->event("order " + std::to_string(order) + " is sent to vm-" + std::to_string(vm + 1));
        return this->send(vm, {order, idempotent, key, false, 600ms});
    }

    void check(const std::string& name)
    {
        this->pass(5s);
        this->invariant_checker.finish();
        BOOST_TEST(this->invariant_checker.violations == std::vector<std::string>{},
                   boost::test_tools::per_element());
        this->recorded.check(name);
    }

    transcript recorded;
};

} // namespace

BOOST_AUTO_TEST_SUITE(run_once)

BOOST_AUTO_TEST_CASE(a_keyed_order_runs_once_however_often_it_is_sent)
{
    recorded_cluster vms;
    vms.recorded.add_heading(
        "An order sent again after its outcome was recorded is answered from the log.");
    vms.ask(vm_1, 1, "key-1");
    vms.pass(100ms);
    vms.ask(vm_2, 1, "key-1");
    vms.pass(100ms);
    vms.recorded.add_heading(
        "Sent to two VMs at once, one runs it and the other waits for the outcome.");
    vms.ask(vm_1, 2, "key-2");
    vms.ask(vm_3, 2, "key-2");
    vms.pass(100ms);
    vms.recorded.add_heading("A request that reuses a key with other content is refused.");
    vms.ask(vm_3, 3, "key-2");
    vms.pass(100ms);
    vms.recorded.add_heading(
        "The caller disconnects while its order runs, and gets the outcome by sending it again.");
    const auto disconnected = vms.ask(vm_1, 4, "key-4");
    vms.pass(10ms);
    vms.disconnect_caller(disconnected);
    vms.ask(vm_2, 4, "key-4");
    vms.check("run_once");
}

BOOST_AUTO_TEST_CASE(an_order_proved_not_run_releases_its_key)
{
    recorded_cluster vms;
    vms.recorded.add_heading("No permit is granted, so the key is released for the next sending.");
    vms.faults.refused_permit = 1;
    vms.ask(vm_1, 1, "key-1");
    vms.pass(50ms);
    vms.faults.refused_permit = 0;
    vms.ask(vm_2, 1, "key-1");
    vms.pass(100ms);
    vms.recorded.add_heading("An attempt may have run: the key stays held, and sendings are "
                             "refused with claim unknown.");
    vms.faults.lost_after_run = 1;
    vms.ask(vm_1, 2, "key-2");
    vms.pass(100ms);
    vms.faults.lost_after_run = 0;
    vms.ask(vm_3, 2, "key-2");
    vms.check("release");
}

BOOST_AUTO_TEST_CASE(keyed_orders_are_handled_correctly_under_each_log_fault)
{
    recorded_cluster vms;
    vms.recorded.add_heading(
        "The acknowledgement is lost; the entry is confirmed by reading it back.");
    vms.log.faults.lost_acknowledgement = 1;
    vms.ask(vm_1, 1, "key-1");
    vms.pass(100ms);
    vms.log.faults = {};
    vms.recorded.add_heading("The append is lost; the entry is appended again.");
    vms.log.faults.lost_append = 1;
    vms.ask(vm_1, 2, "key-2");
    vms.pass(100ms);
    vms.log.faults = {};
    vms.pass(500ms);
    vms.recorded.add_heading(
        "The log is unavailable: orders are refused at once, lookups are answered.");
    vms.log.unavailable = true;
    vms.pass(400ms);
    vms.ask(vm_1, 3, "key-3");
    vms.ask(vm_1, 4, "", true);
    vms.pass(100ms);
    vms.log.unavailable = false;
    vms.recorded.add_heading("The log is available again.");
    vms.pass(1s);
    vms.ask(vm_1, 3, "key-3");
    vms.pass(100ms);
    vms.recorded.add_heading(
        "The log is slow: new orders are refused while an intent is not read back in time.");
    vms.log.faults.append_time = 3s;
    vms.ask(vm_1, 5, "key-5");
    vms.pass(500ms);
    vms.ask(vm_1, 6, "key-6");
    vms.pass(200ms);
    vms.log.faults = {};
    vms.event("the intent of order 5 appears after its caller was told that it did not run");
    vms.pass(5s);
    vms.ask(vm_2, 5, "key-5");
    vms.check("log_faults");
}

BOOST_AUTO_TEST_CASE(vms_die_and_restart_without_history)
{
    recorded_cluster vms;
    vms.recorded.add_heading(
        "vm-1 dies between its intent and the attempt; no other VM may run the order.");
    vms.ask(vm_1, 1, "key-1");
    vms.pass(5ms);
    vms.event("vm-1 is killed");
    vms.kill(vm_1);
    vms.pass(50ms);
    vms.ask(vm_2, 1, "key-1");
    vms.pass(1s);
    vms.recorded.add_heading("A restarted VM refuses orders until it has read the stream.");
    vms.ask(vm_2, 2, "key-2");
    vms.pass(100ms);
    vms.event("vm-3 is killed");
    vms.kill(vm_3);
    vms.ask(vm_3, 2, "key-2");
    vms.pass(100ms);
    vms.ask(vm_3, 2, "key-2");
    vms.pass(100ms);
    vms.recorded.add_heading(
        "The VM that appends for the others is paused; the next one takes over.");
    for (std::size_t vm = 0; vm < 3; ++vm) {
        vms.event("vm-" + std::to_string(vm + 1) + " is paused");
        vms.pause(vm, 350ms);
        vms.ask((vm + 1) % 3, 10 + vm, "key-" + std::to_string(10 + vm));
        vms.pass(600ms);
    }
    vms.check("vms_die");
}

BOOST_AUTO_TEST_CASE(keys_are_bounded_in_number_and_expire)
{
    configuration::service_limits limits;
    limits.key_lifetime = 5s;
    limits.deadline = 600ms;
    auto log_limits = one_stream();
    log_limits.max_keys = 50;
    cluster vms(3, 2, 4, limits, log_limits);
    std::uint64_t order = 0;
    const auto send_some = [&](unsigned count) {
        for (unsigned i = 0; i < count; ++i, ++order) {
            vms.send(vm_1, {order, false, "key-" + std::to_string(order), false, 600ms});
            vms.time.run_until(vms.time.now() + 10ms);
        }
    };
    vms.time.run_until(vms.time.now() + 20ms);
    send_some(60);
    BOOST_TEST(vms.responses["answered"] >= 49);
    BOOST_TEST(vms.responses["overloaded"] >= 8);
    vms.time.run_until(vms.time.now() + 10s);
    // The next record that is appended declares the old keys expired.
    vms.send(vm_2, {0, false, "key-0", false, 600ms});
    vms.time.run_until(vms.time.now() + 100ms);
    const auto answered = vms.responses["answered"];
    send_some(40);
    vms.time.run_until(vms.time.now() + 1s);
    BOOST_TEST(vms.responses["answered"] == answered + 40);
}

BOOST_AUTO_TEST_SUITE_END()
