#include "azureshore/gateway/internal/exchange_queue.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using gateway::detail::exchange_queue;
using gateway::detail::read_ahead_limits;

namespace {

http1::response answer_of(const std::string& body)
{
    http1::response made;
    made.body = body;
    return made;
}

request_number number(std::uint64_t value)
{
    return request_number{value};
}

// A queue that holds the requests 1 to `count` of 100 bytes each.
exchange_queue queue_of(std::uint64_t count, read_ahead_limits limits = {})
{
    exchange_queue made(limits);
    for (std::uint64_t each = 1; each <= count; ++each) {
        made.add({number(each), 100});
    }
    return made;
}

// Takes the answer that is due next.
std::string first_of(exchange_queue& queue, bool daemon_keeps_connections)
{
    const auto parts = queue.write_first(daemon_keeps_connections);
    return parts.head + parts.body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_queue_of_a_connection)

// Guards against an answer that overtakes an earlier one and is taken for it.
BOOST_AUTO_TEST_CASE(an_answer_waits_for_those_before_it)
{
    auto queue = queue_of(3);
    BOOST_TEST(queue.answer(number(3), answer_of("third")));
    BOOST_TEST(queue.answer(number(2), answer_of("second")));
    BOOST_TEST(!queue.answer_is_due());
    BOOST_TEST(queue.answer(number(1), answer_of("first")));
    for (const std::string body : {"first", "second", "third"}) {
        BOOST_TEST(queue.answer_is_due());
        BOOST_TEST(first_of(queue, true).ends_with("\r\n\r\n" + body));
        BOOST_TEST(queue.first_is_sent());
    }
    BOOST_TEST(queue.empty());
}

// Guards against a second answer that replaces one already promised, or that goes to nobody.
BOOST_AUTO_TEST_CASE(a_request_has_one_answer)
{
    auto queue = queue_of(2);
    BOOST_TEST(queue.answer(number(2), answer_of("once")));
    BOOST_TEST(!queue.answer(number(2), answer_of("twice")));
    BOOST_TEST(!queue.answer(number(7), answer_of("nobody's")));
}

// Guards against callers that make a gateway hold more requests, bytes or answers than allowed.
BOOST_AUTO_TEST_CASE(there_is_no_room_beyond_any_limit)
{
    BOOST_TEST(queue_of(2, {3, 1000, 1000}).has_room());
    BOOST_TEST(!queue_of(3, {3, 1000, 1000}).has_room());
    BOOST_TEST(queue_of(4, {9, 400, 1000}).has_room());
    BOOST_TEST(!queue_of(5, {9, 400, 1000}).has_room());
    auto queue = queue_of(3, {9, 1000, 50});
    queue.answer(number(2), answer_of(std::string(20, 'a')));
    BOOST_TEST(queue.has_room());
    queue.answer(number(3), answer_of(std::string(30, 'a')));
    BOOST_TEST(!queue.has_room());
    queue.answer(number(1), answer_of(""));
    for (int sent = 0; sent < 3; ++sent) {
        queue.write_first(true);
        queue.first_is_sent();
    }
    BOOST_TEST(queue.has_room());
    BOOST_TEST(queue.bytes_behind_first() == 0U);
}

// Guards against requests that run on for a caller who can't get their answers.
BOOST_AUTO_TEST_CASE(clearing_names_the_requests_without_an_answer)
{
    auto queue = queue_of(4);
    queue.answer(number(1), answer_of("sent"));
    queue.answer(number(3), answer_of("ready"));
    queue.write_first(true);
    BOOST_TEST(queue.first_is_sent());
    const std::vector<request_number> unanswered{number(2), number(4)};
    BOOST_TEST((queue.clear() == unanswered));
    BOOST_TEST(queue.empty());
    BOOST_TEST(queue.bytes_behind_first() == 0U);
}

// Guards against a planned stop that throws away answers to requests that have been begun.
BOOST_AUTO_TEST_CASE(while_the_daemon_stops_only_the_last_answer_closes)
{
    auto queue = queue_of(2);
    queue.answer(number(1), answer_of("first"));
    queue.answer(number(2), answer_of("last"));
    BOOST_TEST(first_of(queue, false).find("Connection: close") == std::string::npos);
    BOOST_TEST(queue.first_is_sent());
    BOOST_TEST(first_of(queue, false).find("Connection: close") != std::string::npos);
    BOOST_TEST(!queue.first_is_sent());
}

// Guards against a refusal that is sent before the answers to the requests ahead of it.
BOOST_AUTO_TEST_CASE(a_refusal_comes_in_its_turn_and_closes)
{
    auto queue = queue_of(1);
    auto refusal = answer_of("");
    refusal.status = 400;
    queue.add_refusal(refusal);
    BOOST_TEST(!queue.answer_is_due());
    queue.answer(number(1), answer_of("first"));
    queue.write_first(true);
    BOOST_TEST(queue.first_is_sent());
    BOOST_TEST(first_of(queue, true).starts_with("HTTP/1.1 400 "));
    BOOST_TEST(!queue.first_is_sent());
}

BOOST_AUTO_TEST_SUITE_END()
