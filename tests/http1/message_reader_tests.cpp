#include "azureshore/core/random.hpp"
#include "azureshore/http1/message_reader.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace azureshore;
using namespace azureshore::http1;

namespace {

read_state state_after(message_kind kind, std::string_view bytes, reader_limits limits = {})
{
    message_reader reader(kind, limits);
    reader.feed(bytes);
    return reader.state();
}

struct bad_request {
    std::string name;
    std::string bytes;
};

const std::vector<bad_request> bad_requests{
    {"no HTTP at all", "hello\r\n\r\n"},
    {"a length and chunks", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
                            "chunked\r\n\r\n0\r\n\r\n"},
    {"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"},
    {"a length that is no number", "POST / HTTP/1.1\r\nContent-Length: 3x\r\n\r\nabc"},
    {"an unknown coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
    {"a coding that only looks like chunked",
     "POST / HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
    {"two codings in two fields", "POST / HTTP/1.1\r\nTransfer-Encoding: "
                                  "chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
    {"a space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n"},
    {"no method", " / HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"a method alone", "GET\r\nHost: a\r\n\r\n"},
    {"a method that is no token", "GE(T / HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"a method with a byte that is no text", "G\x80T / HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"a tab after the method", "GET\t/ HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"a tab before the colon", "POST / HTTP/1.1\r\nContent-Length\t: 3\r\n\r\nabc"},
    {"a tab inside a length", "POST / HTTP/1.1\r\nContent-Length: 1\t3\r\n\r\nabc"},
    {"a tab inside a coding", "POST / HTTP/1.1\r\nTransfer-Encoding: chun\tked\r\n\r\n0\r\n\r\n"},
    {"a coding after a tab",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\tgzip\r\n\r\n0\r\n\r\n"},
    {"a length that goes on in the next line",
     "POST / HTTP/1.1\r\nContent-Length: 1\r\n\t3\r\n\r\nabc"},
    {"a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"},
    {"a chunk size that is no number",
     "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(message_reading)

BOOST_AUTO_TEST_CASE(a_request_is_read_whole_and_bytes_after_it_are_left)
{
    message_reader reader(message_kind::request, {});
    const std::string bytes = "POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET";
    BOOST_TEST(reader.feed(bytes) == bytes.size() - 3);
    BOOST_TEST((reader.state() == read_state::complete));
    const auto taken = reader.take_request();
    BOOST_TEST(taken.method == "POST");
    BOOST_TEST(taken.target == "/a?b");
    BOOST_TEST(taken.body == "abc");
    BOOST_TEST(taken.keep_alive);
    BOOST_TEST(!reader.begun());
}

BOOST_AUTO_TEST_CASE(a_request_is_the_same_however_its_bytes_are_cut)
{
    const std::string bytes =
        "PUT /orders/7 HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    for (std::size_t step = 1; step < bytes.size(); ++step) {
        message_reader reader(message_kind::request, {});
        for (std::size_t at = 0; at < bytes.size(); at += step) {
            reader.feed(std::string_view(bytes).substr(at, step));
        }
        BOOST_REQUIRE((reader.state() == read_state::complete));
        const auto taken = reader.take_request();
        BOOST_TEST(taken.body == "hello world");
        BOOST_TEST(taken.fields.size() == 3U);
        BOOST_TEST(net::find_field(taken.fields, "host") == "a.example");
    }
}

BOOST_AUTO_TEST_CASE(requests_that_could_be_framed_in_two_ways_are_malformed)
{
    for (const auto& each : bad_requests) {
        BOOST_TEST_CONTEXT(each.name)
        BOOST_TEST((state_after(message_kind::request, each.bytes) == read_state::malformed));
    }
}

BOOST_AUTO_TEST_CASE(an_offer_to_upgrade_is_passed_over)
{
    BOOST_TEST((state_after(message_kind::request, "GET / HTTP/1.1\r\nHost: a\r\n"
                                                   "Connection: upgrade\r\nUpgrade: h2c\r\n\r\n") ==
                read_state::complete));
}

BOOST_AUTO_TEST_CASE(trailers_are_not_taken_for_fields_of_the_header)
{
    message_reader reader(message_kind::request, {});
    reader.feed("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
                "X-Deadline: 9\r\n\r\n");
    BOOST_REQUIRE((reader.state() == read_state::complete));
    BOOST_TEST(net::find_field(reader.take_request().fields, "X-Deadline").empty());
}

BOOST_AUTO_TEST_CASE(headers_and_bodies_beyond_their_limits_are_told_apart)
{
    const reader_limits limits{100, 10};
    const std::string long_field(200, 'x');
    BOOST_TEST((state_after(message_kind::request, "GET / HTTP/1.1\r\nA: " + long_field, limits) ==
                read_state::header_too_large));
    BOOST_TEST((state_after(message_kind::request, "POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n",
                            limits) == read_state::body_too_large));
    BOOST_TEST((state_after(message_kind::request,
                            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                            "b\r\nhello world\r\n",
                            limits) == read_state::body_too_large));
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_ends_with_its_connection)
{
    message_reader reader(message_kind::response, {});
    reader.feed("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc");
    BOOST_TEST((reader.state() == read_state::need_more));
    reader.end_of_stream();
    BOOST_REQUIRE((reader.state() == read_state::complete));
    const auto taken = reader.take_response();
    BOOST_TEST(taken.body == "abc");
    BOOST_TEST(!taken.keep_alive);
}

BOOST_AUTO_TEST_CASE(a_response_that_is_cut_short_is_not_complete)
{
    message_reader reader(message_kind::response, {});
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
    reader.end_of_stream();
    BOOST_TEST((reader.state() != read_state::complete));
}

BOOST_AUTO_TEST_CASE(answers_that_have_no_body_end_with_their_header)
{
    for (const auto* const line : {"204 No Content", "304 Not Modified"}) {
        BOOST_TEST_CONTEXT(line)
        BOOST_TEST((state_after(message_kind::response, std::string("HTTP/1.1 ") + line +
                                                            "\r\n\r\n") == read_state::complete));
    }
    message_reader reader(message_kind::response, {});
    reader.expect_no_body(true);
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
    BOOST_TEST((reader.state() == read_state::complete));
}

BOOST_AUTO_TEST_CASE(interim_responses_are_passed_over)
{
    message_reader reader(message_kind::response, {});
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    BOOST_REQUIRE((reader.state() == read_state::complete));
    const auto taken = reader.take_response();
    BOOST_TEST(taken.status == 200);
    BOOST_TEST(taken.body == "a");
}

BOOST_AUTO_TEST_CASE(random_bytes_never_make_the_reader_fail)
{
    auto random = seeded_random(5);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde";
        for (int change = 0; change < 3; ++change) {
            bytes[uniform_index(random, bytes.size())] = static_cast<char>(random());
        }
        message_reader reader(message_kind::response, {});
        const auto used = reader.feed(bytes);
        BOOST_TEST(used <= bytes.size());
        reader.end_of_stream();
    }
}

// Guards against a target that is a whole URI and keeps its host, or a Host that outranks it.
BOOST_AUTO_TEST_CASE(a_target_that_is_a_whole_uri_becomes_its_path_and_its_host)
{
    struct example {
        std::string method;
        std::string target;
        std::string expected_target;
        std::string expected_host;
    };
    for (const auto& each : std::vector<example>{
             {"GET", "http://a.example/b?c", "/b?c", "a.example"},
             {"GET", "HTTPS://A.example:8080/b/http://d/", "/b/http://d/", "A.example:8080"},
             {"GET", "http://a.example", "/", "a.example"},
             {"GET", "http://a.example?c=/d", "/?c=/d", "a.example"},
             {"GET", "http://[::1]:80/b", "/b", "[::1]:80"},
             {"OPTIONS", "http://a.example", "*", "a.example"},
             {"OPTIONS", "http://a.example/", "/", "a.example"},
             {"GET", "/b?c=http://d/", "/b?c=http://d/", "other"},
             {"GET", "//a.example/b", "//a.example/b", "other"},
             {"GET", "ftp://a.example/b", "ftp://a.example/b", "other"},
             {"GET", "http:///b", "http:///b", "other"},
             {"GET", "http://user@a.example/b", "http://user@a.example/b", "other"}}) {
        request made;
        made.method = each.method;
        made.target = each.target;
        made.fields = {{"X-Own", "1"}, {"hOST", "other"}};
        use_origin_form(made);
        BOOST_TEST_CONTEXT(each.method << " " << each.target)
        {
            BOOST_TEST(made.target == each.expected_target);
            BOOST_TEST(net::find_field(made.fields, "Host") == each.expected_host);
            BOOST_TEST(made.fields.size() == 2U);
        }
    }
}

BOOST_AUTO_TEST_CASE(fields_of_one_connection_do_not_go_on)
{
    const std::vector<net::field> fields{
        {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"},          {"Keep-Alive", "timeout=5"},
        {"Transfer-Encoding", "chunked"},    {"Content-Length", "3"}, {"X-End", "2"}};
    const auto kept = end_to_end(fields);
    BOOST_REQUIRE(kept.size() == 1U);
    BOOST_TEST(kept[0].name == "X-End");
}

// Guards against options that are missed among many, or in another case.
BOOST_AUTO_TEST_CASE(each_of_many_options_keeps_its_field_from_going_on)
{
    std::vector<net::field> fields;
    std::string options;
    for (int i = 0; i < 500; ++i) {
        options += (i % 2 == 0 ? "x-hop-" : ",, X-HOP-") + std::to_string(i) + " ,";
        fields.push_back({"X-Hop-" + std::to_string(i), "1"});
        fields.push_back({"X-End-" + std::to_string(i), "1"});
    }
    fields.push_back({"connection", options});
    const auto kept = end_to_end(fields);
    BOOST_TEST(kept.size() == 500U);
    BOOST_TEST(std::all_of(kept.begin(), kept.end(),
                           [](const net::field& each) { return each.name.starts_with("X-End-"); }));
}

BOOST_AUTO_TEST_CASE(a_written_answer_to_head_names_a_length_and_has_no_body)
{
    response answer;
    answer.fields = {{"Content-Length", "50"}};
    answer.body = "ignored";
    BOOST_TEST(write_response(answer, true) == "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n");
}

BOOST_AUTO_TEST_CASE(a_written_204_has_neither_length_nor_body)
{
    response answer;
    answer.status = 204;
    BOOST_TEST(write_response(answer, false) == "HTTP/1.1 204 No Content\r\n\r\n");
}

// Guards against bodies that take memory before anyone agrees.
BOOST_AUTO_TEST_CASE(memory_for_a_body_is_asked_for_before_it_is_taken)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    std::vector<std::size_t> asked;
    message_reader reader(message_kind::request, {});
    reader.set_memory_check([&asked](std::size_t bytes) {
        asked.push_back(bytes);
        return bytes < 50'000;
    });
    reader.feed(head + "Content-Length: 3000\r\n\r\nbegin");
    BOOST_REQUIRE(asked.size() == 1U);
    BOOST_TEST(asked.front() >= 3000U);
    BOOST_TEST(reader.held_bytes() >= 3000U);
    reader.discard();
    BOOST_TEST(reader.held_bytes() == 0U);
    reader.feed(head + "Content-Length: 60000\r\n\r\n");
    BOOST_TEST((reader.state() == read_state::no_memory));
    reader.discard();
    reader.feed(head + "Transfer-Encoding: chunked\r\n\r\nffff\r\n");
    asked.clear();
    for (int i = 0; i < 20 && reader.state() == read_state::need_more; ++i) {
        reader.feed(std::string(2000, 'x'));
    }
    BOOST_TEST((reader.state() == read_state::no_memory));
    // Doubled from 4 KiB, so that few bytes are copied.
    BOOST_TEST(asked.size() <= 5U);
}

BOOST_AUTO_TEST_SUITE_END()
