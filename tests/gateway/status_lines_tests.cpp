#include "gateway/running_gateway.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <future>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> bad_statuses{"000",  "0",   "00",  "099",  "20",   "101", "199",
                                            "199x", "600", "999", "0200", "2000", "-20", " 200"};

// An answer that is right but for its status.
std::string answer_with(const std::string& status, const std::string& request)
{
    return "HTTP/1.1 " + status + answer_to(request, "no").substr(12);
}

// Longer than any step of a request that goes well, shorter than any time limit of the test.
constexpr auto at_once = 1500ms;

template <typename work>
std::chrono::steady_clock::duration time_of(const work& run)
{
    const auto from = std::chrono::steady_clock::now();
    run();
    return std::chrono::steady_clock::now() - from;
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_status_lines)

// Guards against a status that is none which reaches a caller, or which leaves it without an answer
// until its deadline.
BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_gets_502_at_once)
{
    for (const auto& status : bad_statuses) {
        std::promise<void> closed;
        std::atomic<int> came{0};
        const auto backend =
            make_backend("plate-1", [&](raw_connection& connection, const std::string& request) {
                ++came;
                connection.send(answer_with(status, request));
                connection.wait_for_close();
                closed.set_value();
                return false;
            });
        running_gateway gateway;
        gateway.add_backend("plate-1", *backend);
        raw_client caller(gateway.port());
        std::string answer;
        const auto took = time_of([&] {
            caller.send(request_text("POST /orders/1", "r-1", "Connection: close\r\n", "x"));
            answer = caller.read_to_end();
        });
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST(answer.starts_with("HTTP/1.1 502 "), answer);
            BOOST_TEST((took < at_once));
            BOOST_TEST((closed.get_future().wait_for(1s) == std::future_status::ready));
            BOOST_TEST(came == 1);
        }
    }
}

// Guards against an idempotent request that fails although another backend server could answer it.
BOOST_AUTO_TEST_CASE(an_idempotent_request_is_sent_to_another_server_at_once)
{
    for (const auto& status : bad_statuses) {
        std::atomic<int> came{0};
        const auto answer = [&](raw_connection& connection, const std::string& request) {
            connection.send(++came == 1 ? answer_with(status, request) : answer_to(request, "ok"));
            return true;
        };
        running_gateway gateway;
        const auto first = make_backend("plate-1", answer);
        const auto second = make_backend("plate-2", answer);
        gateway.add_backend("plate-1", *first);
        gateway.add_backend("plate-2", *second);
        raw_client caller(gateway.port());
        std::string text;
        const auto took = time_of([&] {
            caller.send(request_text("GET /plates/1", "r-1", "Connection: close\r\n"));
            text = caller.read_to_end();
        });
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST(text.starts_with("HTTP/1.1 200 OK\r\n"), text);
            BOOST_TEST(text.ends_with("\r\n\r\nok"), text);
            BOOST_TEST((took < at_once));
            BOOST_TEST(came == 2);
        }
    }
}

// Guards against a request that is taken for one which ends backend servers, because their answers
// can't be read.
BOOST_AUTO_TEST_CASE(a_request_whose_answers_are_none_is_not_suspected)
{
    std::atomic<int> came{0};
    const auto backend =
        make_backend("plate-1", [&](raw_connection& connection, const std::string& request) {
            connection.send(++came <= 2 ? answer_with("2x0", request) : answer_to(request, "ok"));
            return true;
        });
    running_gateway gateway;
    gateway.add_backend("plate-1", *backend);
    raw_client caller(gateway.port());
    std::string answer;
    for (int i = 0; i < 3; ++i) {
        caller.send(request_text("POST /orders/1", "r-1", "", "x"));
        answer = caller.read_until("\r\n\r\n");
        BOOST_TEST(answer.find("503") == std::string::npos, answer);
    }
    BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
}

// Guards against a server that holds a request by interim answers without end.
BOOST_AUTO_TEST_CASE(interim_answers_without_end_are_no_answer)
{
    const auto backend =
        make_backend("plate-1", [](raw_connection& connection, const std::string&) {
            for (int i = 0; i < 9; ++i) {
                connection.send("HTTP/1.1 102 Processing\r\n\r\n");
            }
            connection.wait_for_close();
            return false;
        });
    running_gateway gateway;
    gateway.add_backend("plate-1", *backend);
    raw_client caller(gateway.port());
    const auto took = time_of([&] {
        caller.send(request_text("POST /orders/1", "r-1", "", "x"));
        BOOST_TEST(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502 "));
    });
    BOOST_TEST((took < at_once));
}

// Guards against a backend server that is taken for healthy by a health answer which is none.
BOOST_AUTO_TEST_CASE(a_health_answer_with_such_a_status_is_none)
{
    std::atomic<int> came{0};
    const raw_server odd([&came](raw_connection& connection, int) {
        while (const auto request = connection.read_request()) {
            if (!request->starts_with("GET /health ")) {
                ++came;
            }
            connection.send("HTTP/1.1 0200 OK\r\nInstance: odd\r\nContent-Length: 0\r\n\r\n");
        }
    });
    const auto right =
        make_backend("plate-1", [](raw_connection& connection, const std::string& request) {
            connection.send(answer_to(request, "ok"));
            return true;
        });
    running_gateway gateway;
    gateway.add_backend("odd", odd);
    gateway.add_backend("plate-1", *right);
    raw_client caller(gateway.port());
    for (int i = 0; i < 20; ++i) {
        caller.send(request_text("POST /orders/1", "r-1", "", "x"));
        BOOST_TEST(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200 "));
    }
    BOOST_TEST(came == 0);
}

// Guards against a fault of a backend server that operators can't trace.
BOOST_AUTO_TEST_CASE(the_log_names_what_was_read_instead_of_an_answer)
{
    const auto backend =
        make_backend("plate-1", [](raw_connection& connection, const std::string&) {
            connection.send("HTTP/1.1 20\x01\xff 0 " + std::string(100, 'a') + "\r\nSecret: b\r\n");
            connection.wait_for_close();
            return false;
        });
    running_gateway gateway;
    gateway.add_backend("plate-1", *backend);
    raw_client caller(gateway.port());
    caller.send(request_text("POST /orders/1", "r-1", "", "x"));
    BOOST_TEST(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 502 "));
    const auto log = gateway.log();
    BOOST_TEST(log.find("malformed_answer request=r-1 backend=plate-1 read=\"HTTP/1.1 20?? 0 " +
                        std::string(48, 'a') + "\"\n") != std::string::npos,
               log);
    std::string page;
    gateway.run([&page](const gateway::http_gateway& from) { page = from.metrics(); });
    BOOST_TEST(page.find("azureshore_malformed_answers_total 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
