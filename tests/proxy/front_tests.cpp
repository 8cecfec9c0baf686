#include "azureshore/proxy/fields.hpp"
#include "azureshore/proxy/front.hpp"
#include "azureshore/proxy/refusal_text.hpp"
#include "support/raw_client.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <optional>
#include <vector>

namespace azureshore::proxy {

using outcomes::incoming_request;
using outcomes::refusal;
using outcomes::refusal_cause;
using outcomes::run_claim;

namespace {

net::http_call call_of(std::string method, std::string target, std::vector<net::field> headers = {})
{
    net::http_call call;
    call.number = 7;
    call.method = std::move(method);
    call.target = std::move(target);
    call.headers = std::move(headers);
    call.body = "body";
    call.peer = "10.0.0.9:4711";
    return call;
}

std::variant<incoming_request, refusal> read(net::http_call call)
{
    return read_request(std::move(call), {std::chrono::seconds(10)});
}

std::string header_of(const net::http_answer& answer, std::string_view name)
{
    for (const auto& each : answer.headers) {
        if (each.name == name) {
            return each.value;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(requests_and_final_words)

BOOST_AUTO_TEST_CASE(a_call_becomes_a_request_with_its_service_key_deadline_and_caller)
{
    const auto request = std::get<incoming_request>(
        read(call_of("POST", "/foundry/orders/17?copy=2",
                     {{"Idempotency-Key", "\"order-17\""}, {"Azureshore-Deadline-Ms", "1500"}})));
    BOOST_TEST(request.number == request_number{7});
    BOOST_TEST(request.service == service_id{"foundry"});
    BOOST_TEST(!request.idempotent);
    BOOST_TEST(request.key == "order-17");
    BOOST_TEST((request.time_left == std::chrono::milliseconds(1500)));
    BOOST_TEST(request.caller == "10.0.0.9");
    BOOST_TEST(request.content->target == "/foundry/orders/17?copy=2");
    BOOST_TEST(request.content->body == "body");

    const auto lookup = std::get<incoming_request>(
        read(call_of("GET", "/ordbog?word=hus",
                     {{"azureshore-caller", "club-9"}, {"Azureshore-Deadline-Ms", "999999999"}})));
    BOOST_TEST(lookup.service == service_id{"ordbog"});
    BOOST_TEST(lookup.idempotent);
    BOOST_TEST(lookup.caller == "club-9");
    BOOST_TEST((lookup.time_left == std::chrono::seconds(10)));
}

BOOST_AUTO_TEST_CASE(a_call_that_is_no_clear_request_is_refused_as_not_run)
{
    struct row {
        net::http_call call;
        refusal_cause cause;
    };
    const auto malformed = refusal_cause::request_malformed;
    const std::vector<row> rows{
        {call_of("TRACE", "/a"), malformed},
        {call_of("GET", "*"), malformed},
        {call_of("GET", "/"), malformed},
        {call_of("GET", "//a"), malformed},
        {call_of("GET", "http://h/a"), malformed},
        {call_of("GET", "/a%2fb/c"), malformed},
        {call_of("GET", "/" + std::string(65, 'a')), malformed},
        {call_of("POST", "/a", {{"Idempotency-Key", ""}}), malformed},
        {call_of("POST", "/a", {{"Idempotency-Key", "\"\""}}), malformed},
        {call_of("POST", "/a", {{"Idempotency-Key", "two words"}}), malformed},
        {call_of("POST", "/a", {{"Idempotency-Key", std::string(129, 'k')}}), malformed},
        {call_of("POST", "/a", {{"Idempotency-Key", "a"}, {"Idempotency-Key", "b"}}), malformed},
        {call_of("GET", "/a", {{"Azureshore-Deadline-Ms", "soon"}}), malformed},
        {call_of("GET", "/a", {{"Azureshore-Deadline-Ms", "-1"}}), malformed},
        {call_of("GET", "/a", {{"Azureshore-Deadline-Ms", "1.5"}}), malformed},
        {call_of("GET", "/a", {{"Azureshore-Deadline-Ms", "0"}}), refusal_cause::deadline_passed},
    };
    for (const auto& each : rows) {
        const auto read_back = read(each.call);
        BOOST_TEST_REQUIRE(std::holds_alternative<refusal>(read_back), each.call.target);
        BOOST_TEST((std::get<refusal>(read_back) ==
                    refusal{each.cause, run_claim::not_run, std::nullopt}));
    }
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_and_azureshores_own_do_not_pass)
{
    const auto passed = passed_on({{"Host", "h"},
                                   {"connection", "close, X-Mine"},
                                   {"x-mine", "1"},
                                   {"Keep-Alive", "5"},
                                   {"TE", "trailers"},
                                   {"Azureshore-Run", "not-run"},
                                   {"Azureshore-Attempt", "vm1-1"},
                                   {"Cookie", "a"},
                                   {"Cookie", "b"}});
    const std::vector<outcomes::header> expected{{"Host", "h"}, {"Cookie", "a"}, {"Cookie", "b"}};
    BOOST_TEST((passed == expected));
}

BOOST_AUTO_TEST_CASE(every_cause_has_one_status_and_a_refusal_says_what_ran)
{
    const std::vector<int> statuses{404, 400, 413, 408, 400, 422, 409, 503,
                                    504, 503, 503, 503, 503, 502, 502, 503};
    for (std::size_t index = 0; index < statuses.size(); ++index) {
        const auto cause = static_cast<refusal_cause>(index);
        const auto claim = index % 2 == 0 ? run_claim::not_run : run_claim::unknown;
        const auto answer = write_refusal({cause, claim, std::chrono::milliseconds(1001)});
        BOOST_TEST(answer.status == statuses.at(index));
        BOOST_TEST(header_of(answer, "Azureshore-Run") == (index % 2 == 0 ? "not-run" : "unknown"));
        BOOST_TEST(header_of(answer, "Retry-After") == "2");
        BOOST_TEST(header_of(answer, "Content-Type") == "application/problem+json");
        const std::string name(to_string(cause));
        BOOST_TEST(header_of(answer, "Proxy-Status").ends_with("details=\"" + name + "\""));
        const auto problem = nlohmann::json::parse(answer.body);
        BOOST_TEST(problem.at("cause") == name);
        BOOST_TEST(problem.at("status") == statuses.at(index));
    }
    const auto slow = write_early_refusal(net::early_refusal::too_slow);
    BOOST_TEST(slow.status == 408);
    BOOST_TEST(header_of(slow, "Azureshore-Run") == "not-run");
    BOOST_TEST(header_of(slow, "Retry-After").empty());
}

BOOST_AUTO_TEST_CASE(a_front_gives_each_request_one_final_word_and_tells_of_callers_that_leave)
{
    std::promise<request_number> begun;
    std::promise<request_number> left;
    std::atomic<int> refused = 0;
    front_hooks hooks;
    std::optional<front> served;
    hooks.begin = [&](const incoming_request& request) {
        if (request.service == service_id{"slow"}) {
            begun.set_value(request.number);
            return;
        }
        outcomes::caller_response word;
        word.answer = outcomes::answer_content{201, {{"X-Plate", "17"}}, "cast"};
        served->answer(request.number, word);
        word.answer->body = "a second word";
        served->answer(request.number, word);
    };
    hooks.gone = [&](request_number request) {
        left.set_value(request);
    };
    hooks.refused = [&](const refusal&) {
        ++refused;
    };
    front_settings settings;
    settings.server.where.host = "127.0.0.1";
    served.emplace(settings, std::move(hooks));

    test_support::raw_client client(served->port());
    client.send("GET /foundry HTTP/1.1\r\n\r\n");
    const auto answer = client.read_until("cast");
    BOOST_TEST(answer.starts_with("HTTP/1.1 201 "));
    BOOST_TEST(answer.find("X-Plate: 17\r\n") != std::string::npos);
    client.send("BREW /foundry HTTP/1.1\r\n\r\n");
    const auto word = client.read_to_end();
    BOOST_TEST(word.starts_with("HTTP/1.1 405 "));
    BOOST_TEST(word.find("Azureshore-Run: not-run\r\n") != std::string::npos);
    BOOST_TEST(refused == 1);

    std::optional<test_support::raw_client> leaving(served->port());
    leaving->send("POST /slow HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    const auto number = begun.get_future().get();
    BOOST_TEST(served->in_flight() == 1U);
    leaving.reset();
    BOOST_TEST(left.get_future().get() == number);
    BOOST_TEST(served->in_flight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azureshore::proxy
