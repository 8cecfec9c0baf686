#include "outcomes/cluster.hpp"
#include "outcomes/transcript.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::outcomes;
using namespace azureshore::outcomes::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vm_count = 3;
constexpr std::uint64_t poison_order = 666;

// A kind of poisoned request, which is sent repeatedly to one VM after the other.
struct poison_case {
    std::string_view name;
    bool idempotent;
    std::string_view key;
};

constexpr std::array poison_cases{
    poison_case{"lookup", true, ""},
    poison_case{"order without a key", false, ""},
    poison_case{"order with a key", false, "key-666"},
};

sending_plan poison(bool idempotent, std::string_view key)
{
    return {poison_order, idempotent, std::string(key), true, 1500ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(suspicion)

BOOST_AUTO_TEST_CASE(a_poisoned_request_crashes_at_most_two_backend_servers_in_total)
{
    for (const auto& each : poison_cases) {
        BOOST_TEST_CONTEXT(each.name)
        {
            unsigned most_deaths = 0;
            for (std::uint64_t seed = 1; seed <= 200; ++seed) {
                cluster vms(seed, vm_count, 6);
                vms.time.run_until(vms.time.now() + 50ms);
                for (std::size_t sending = 0; sending < 12; ++sending) {
                    vms.send(sending % vm_count, poison(each.idempotent, each.key));
                    vms.time.run_until(vms.time.now() + 400ms);
                }
                vms.time.run_until(vms.time.now() + 3s);
                vms.invariant_checker.finish();
                BOOST_TEST(vms.invariant_checker.violations.empty());
                most_deaths = std::max(most_deaths, vms.backend_deaths);
            }
            BOOST_TEST(most_deaths <= 2);
            BOOST_TEST(most_deaths >= 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(lookups_that_run_beside_a_poisoned_request_are_answered)
{
    unsigned answered = 0;
    unsigned concurrent_lookups = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        cluster vms(seed, vm_count, 6);
        // Enough first attempts for the retry budget to cover the retries below.
        for (std::uint64_t i = 0; i < 300; ++i) {
            vms.send(i % vm_count, {i, true, "", false, 600ms});
        }
        vms.time.run_until(vms.time.now() + 100ms);
        vms.responses.clear();
        vms.faults.service_time = 30ms;
        for (std::uint64_t i = 0; i < 12; ++i) {
            vms.send(i % vm_count, {i, true, "", false, 600ms});
        }
        vms.time.run_until(vms.time.now() + 5ms);
        vms.send(0, poison(true, ""));
        vms.time.run_until(vms.time.now() + 700ms);
        // The same lookups again: those that ran beside the poisoned one are no longer under
        // suspicion.
        for (std::uint64_t i = 0; i < 12; ++i) {
            vms.send((i + 1) % vm_count, {i, true, "", false, 600ms});
        }
        vms.time.run_until(vms.time.now() + 2s);
        answered += vms.responses["answered"];
        concurrent_lookups += 24;
        BOOST_TEST(vms.backend_deaths <= 2);
    }
    BOOST_TEST_MESSAGE(answered << " of " << concurrent_lookups << " concurrent lookups answered");
    BOOST_TEST(answered >= concurrent_lookups * 99 / 100);
}

BOOST_AUTO_TEST_CASE(a_poisoned_lookup_and_others_beside_it_match_the_approved_transcript)
{
    cluster vms(11, 2, 3);
    transcript recorded;
    vms.on_decision = [&](const vm_id& vm, const std::string& line) {
        recorded.add_line(vms.time.now(), vm.value + "  " + line);
    };
    vms.faults.service_time = 30ms;
    recorded.add_heading(
        "Lookups 1 to 3 are running when the poisoned lookup (sending 3) crashes backend servers.");
    for (std::uint64_t i = 1; i <= 3; ++i) {
        vms.send(i % 2, {i, true, "", false, 600ms});
    }
    vms.time.run_until(vms.time.now() + 4ms);
    vms.send(0, poison(true, ""));
    vms.time.run_until(vms.time.now() + 500ms);
    recorded.add_heading("The poisoned lookup is sent again, to the other VM.");
    vms.send(1, poison(true, ""));
    vms.time.run_until(vms.time.now() + 500ms);
    BOOST_TEST(vms.backend_deaths == 2);
    recorded.check("suspicion");
}

BOOST_AUTO_TEST_CASE(a_suspicion_is_lifted_while_the_trial_waits_for_its_permit)
{
    engine_fixture vm;
    vm.ask(true, "/plates/7");
    vm.grant("plate-1");
    vm.end(attempt_end::unknown, attempt_proof::connection_lost);
    const auto fingerprint = vm.sent_suspicions.back().fingerprint;
    vm.engine->receive(vm.now, {"vm-2"}, wire::suspicion{{"foundry"}, fingerprint, 0, {}, {}});
    vm.grant("plate-2");
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 7");
    BOOST_REQUIRE(vm.responses.size() == 1);
    BOOST_TEST(vm.responses[0].second.answer->body == "plate 7");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(hedging)

BOOST_AUTO_TEST_CASE(slow_idempotent_attempts_are_hedged_within_the_budget_and_only_when_enabled)
{
    for (const bool hedge_enabled : {false, true}) {
        configuration::service_limits limits;
        limits.hedge = hedge_enabled;
        engine_fixture vm(limits);
        const auto answer_fast = [&vm](int requests) {
            for (int i = 0; i < requests; ++i) {
                vm.ask(true, "/plates/7");
                vm.grant("plate-1");
                vm.after(5ms);
                vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 7");
            }
        };
        answer_fast(400);
        const auto permit_requests = vm.permit_requests.size();
        vm.ask(true, "/plates/8");
        vm.grant("plate-1");
        vm.after(20ms);
        BOOST_TEST(vm.permit_requests.size() == permit_requests + (hedge_enabled ? 2 : 1));
        vm.ask(false, "/orders");
        vm.grant("plate-1");
        vm.after(20ms);
        BOOST_TEST(vm.permit_requests.size() == permit_requests + (hedge_enabled ? 3 : 2));
        for (int i = 0; i < 100; ++i) {
            vm.ask(true, "/plates/9");
            vm.grant("plate-1");
            vm.after(20ms);
        }
        BOOST_TEST(vm.permit_requests.size() <= 502 + (hedge_enabled ? 50 : 0));
    }
}

BOOST_AUTO_TEST_CASE(the_slower_of_two_hedged_attempts_is_cancelled)
{
    configuration::service_limits limits;
    limits.hedge = true;
    engine_fixture vm(limits);
    for (int i = 0; i < 200; ++i) {
        vm.ask(true, "/plates/7");
        vm.grant("plate-1");
        vm.after(5ms);
        vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 7");
    }
    vm.recorded = {};
    vm.recorded.add_heading("A lookup takes longer than usual; a second attempt answers first.");
    vm.ask(true, "/plates/8");
    vm.grant("plate-1");
    vm.after(6ms);
    vm.grant("plate-2");
    vm.after(2ms);
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 8");
    vm.recorded.check("hedge");
}

BOOST_AUTO_TEST_SUITE_END()
