#include "outcomes/transcript.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::outcomes;
using namespace azureshore::outcomes::testing;
using namespace std::chrono_literals;

namespace {

// How the first two attempts end, and whether a retry and which claim are expected.
struct plain_case {
    std::string_view name;
    bool idempotent;
    attempt_end first;
    bool retried;
    attempt_end second;
    run_claim claim;
};

constexpr auto not_run = attempt_end::not_run;
constexpr auto unknown = attempt_end::unknown;

constexpr std::array plain_cases{
    plain_case{"lookup, not run then not run", true, not_run, true, not_run, run_claim::not_run},
    plain_case{"lookup, not run then unknown", true, not_run, true, unknown, run_claim::unknown},
    plain_case{"lookup, unknown then not run", true, unknown, true, not_run, run_claim::unknown},
    plain_case{"order, not run then not run", false, not_run, true, not_run, run_claim::not_run},
    plain_case{"order, not run then unknown", false, not_run, true, unknown, run_claim::unknown},
    plain_case{"order, unknown", false, unknown, false, unknown, run_claim::unknown},
};

configuration::service_limits two_attempts()
{
    configuration::service_limits limits;
    limits.max_attempts = 2;
    return limits;
}

} // namespace

BOOST_AUTO_TEST_SUITE(plain_requests)

BOOST_AUTO_TEST_CASE(a_request_is_retried_only_when_safe_and_claimed_not_run_only_when_proved)
{
    for (const auto& each : plain_cases) {
        BOOST_TEST_CONTEXT(each.name)
        {
            engine_fixture vm(two_attempts());
            vm.ask(each.idempotent, "/plates/7");
            vm.grant("plate-1");
            vm.end(each.first, attempt_proof::timed_out);
            BOOST_TEST((vm.permit_requests.size() == 2) == each.retried);
            if (each.retried) {
                BOOST_TEST(
                    (vm.permit_requests.back().avoid == std::vector<backend_id>{{"plate-1"}}));
                vm.grant("plate-2");
                vm.end(each.second, attempt_proof::timed_out);
            }
            BOOST_REQUIRE(vm.responses.size() == 1);
            BOOST_TEST((vm.responses[0].second.refused->claim == each.claim));
            BOOST_TEST((vm.responses[0].second.refused->cause == refusal_cause::backend_failed));
        }
    }
}

BOOST_AUTO_TEST_CASE(retries_stay_within_the_retry_budget)
{
    engine_fixture vm;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        vm.ask(true, "/plates/7");
        for (auto granted = vm.started.size(); granted < vm.permit_requests.size(); ++granted) {
            vm.grant("plate-1");
            vm.end(not_run, attempt_proof::never_connected);
        }
    }
    BOOST_TEST(vm.responses.size() == requests);
    BOOST_TEST(vm.started.size() <= requests * 1.1 + 3);
    BOOST_TEST(vm.started.size() >= requests * 1.1);
}

BOOST_AUTO_TEST_CASE(late_and_duplicate_reports_and_permits_are_ignored)
{
    engine_fixture vm;
    vm.ask(true, "/plates/7");
    vm.grant("plate-1");
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 7");
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 8");
    vm.grant("plate-2");
    BOOST_TEST(vm.responses.size() == 1);
    BOOST_TEST(vm.responses[0].second.answer->body == "plate 7");
    BOOST_TEST(vm.started.size() == 1);
    BOOST_TEST(vm.engine->in_flight() == 0);
}

BOOST_AUTO_TEST_CASE(requests_without_keys_match_the_approved_transcript)
{
    engine_fixture vm;
    vm.recorded.add_heading("A lookup is retried after its backend server failed.");
    vm.ask(true, "/plates/7");
    vm.after(1ms);
    vm.grant("plate-1");
    vm.after(5ms);
    vm.end(unknown, attempt_proof::timed_out);
    vm.after(1ms);
    vm.grant("plate-2");
    vm.after(4ms);
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 7");
    vm.recorded.add_heading("An order without a key may have run, so it is not retried.");
    vm.ask(false, "/orders");
    vm.grant("plate-1");
    vm.end(unknown, attempt_proof::timed_out);
    vm.recorded.add_heading(
        "The deadline passes while a permit is awaited, and while an attempt runs.");
    vm.ask(false, "/orders");
    vm.after(2s);
    vm.ask(false, "/orders");
    vm.grant("plate-1");
    vm.after(2s);
    vm.recorded.add_heading("The router refuses the permit.");
    vm.ask(true, "/plates/9");
    vm.engine->permit_refused(vm.now, vm.permit_requests.back().attempt,
                              wire::refusal_reason::overloaded, 250ms);
    vm.recorded.add_heading("A caller disconnects; the report of its attempt is then ignored.");
    const auto gone = vm.ask(true, "/plates/9");
    vm.grant("plate-1");
    vm.engine->caller_gone(vm.now, gone);
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 9");
    vm.recorded.add_heading("A stopping VM refuses new requests and finishes those in flight.");
    vm.ask(true, "/plates/10");
    vm.engine->stop(vm.now);
    vm.ask(true, "/plates/11");
    vm.grant("plate-1");
    vm.end(attempt_end::answered, attempt_proof::whole_answer, "plate 10");
    vm.recorded.check("plain_requests");
}

BOOST_AUTO_TEST_SUITE_END()
