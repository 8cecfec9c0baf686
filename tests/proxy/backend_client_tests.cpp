#include "attempt_runner.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <vector>

namespace azureshore::proxy {

using outcomes::attempt_end;
using outcomes::attempt_proof;
using test_support::raw_connection;
using test_support::raw_server;

namespace {

void check(const outcomes::attempt_report& report, attempt_end end, attempt_proof proof)
{
    BOOST_TEST(to_string(report.end) == to_string(end));
    BOOST_TEST(to_string(report.proof) == to_string(proof));
    BOOST_TEST(report.answer.has_value() == (end == attempt_end::answered));
}

void check_answered(const outcomes::attempt_report& report)
{
    check(report, attempt_end::answered, attempt_proof::whole_answer);
    if (report.answer) {
        BOOST_TEST(report.answer->body == "vm1-" + std::to_string(report.attempt.value));
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempts_over_http)

BOOST_AUTO_TEST_CASE(a_request_that_may_not_be_repeated_is_sent_once_when_kept_connections_close)
{
    for (const std::string body : {"", "plate=17"}) {
        run_counts counts;
        // The trap: the first connection answers one request, reads a second and closes.
        const raw_server server([&](raw_connection& connection, int number) {
            const int answered = number == 0 ? 1 : 100;
            for (int index = 0; index < answered; ++index) {
                const auto request = connection.read_request();
                if (!request) {
                    return;
                }
                const auto name = counts.add(*request);
                connection.send(answer_to(name, name));
            }
            if (const auto request = connection.read_request()) {
                counts.add(*request);
            }
        });
        attempt_runner runner(server.port());
        check_answered(runner.run("POST", body));
        check_answered(runner.run("POST", body));
        check_answered(runner.run("POST", body));
        BOOST_TEST(counts.most() == 1);
    }
}

BOOST_AUTO_TEST_CASE(a_request_lost_on_its_connection_is_never_sent_again_by_the_client)
{
    // Every connection answers one request, reads a second and closes: a kept connection for GET,
    // and for POST a fresh one that a GET had no time to use.
    for (const int answered : {0, 1}) {
        for (const std::string method : {"GET", "POST"}) {
            run_counts counts;
            const raw_server server([&](raw_connection& connection, int) {
                for (int index = 0; index <= answered; ++index) {
                    const auto request = connection.read_request();
                    if (!request) {
                        return;
                    }
                    const auto name = counts.add(*request);
                    if (index < answered) {
                        connection.send(answer_to(name, name));
                    }
                }
            });
            attempt_runner runner(server.port());
            for (int index = 0; index < answered; ++index) {
                check_answered(runner.run("GET"));
            }
            const auto report = runner.run(method);
            if (method == "POST" && answered == 1) {
                check_answered(report);
            }
            else {
                check(report, attempt_end::unknown, attempt_proof::connection_lost);
            }
            BOOST_TEST(counts.most() == 1);
            BOOST_TEST(counts.of(report.attempt) == 1);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_kept_connection_that_closes_before_reading_costs_at_most_one_attempt)
{
    run_counts counts;
    const raw_server server([&](raw_connection& connection, int) {
        if (const auto request = connection.read_request()) {
            const auto name = counts.add(*request);
            connection.send(answer_to(name, name));
        }
    });
    attempt_runner runner(server.port());
    for (int index = 0; index < 20; ++index) {
        const auto report = runner.run("GET");
        if (report.end != attempt_end::answered) {
            check(report, attempt_end::unknown, attempt_proof::connection_lost);
        }
    }
    BOOST_TEST(counts.most() == 1);
}

BOOST_AUTO_TEST_CASE(only_a_whole_answer_is_passed_on)
{
    struct row {
        std::string answer;
        attempt_proof proof;
    };
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<row> rows{
        {"", attempt_proof::connection_lost},
        {"HTTP/1.1", attempt_proof::connection_lost},
        {head + "Content-Length: 10\r\n", attempt_proof::answer_cut},
        {head + "Content-Length: 0\r\n", attempt_proof::answer_cut},
        {"HTTP/1.1 204 No Content\r\n", attempt_proof::answer_cut},
        {"HTTP/1.1 503 Busy\r\nAzureshore-Run: not-run\r\nContent-Length: 0\r\n",
         attempt_proof::answer_cut},
        {head + "Content-Length: 10\r\n\r\nfive!", attempt_proof::answer_cut},
        {head + "\r\nended by close alone", attempt_proof::answer_cut},
        {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nfive!\r\n", attempt_proof::answer_cut},
        {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nfive!", attempt_proof::answer_cut},
        {"HTTP/1.1 100 Continue\r\n\r\n", attempt_proof::connection_lost},
        {head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x'),
         attempt_proof::answer_too_large},
        {head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'x') +
             "\r\n0\r\n\r\n",
         attempt_proof::answer_too_large},
        {head + "X-Flood: " + std::string(70000, 'x') + "\r\nContent-Length: 0\r\n\r\n",
         attempt_proof::answer_too_large},
        {"SMTP ready\r\n\r\n", attempt_proof::connection_lost},
        {head + "Azureshore-Attempt: vm1-999\r\nContent-Length: 2\r\n\r\nno",
         attempt_proof::wrong_echo},
        {"HTTP/1.1 503 Busy\r\nAzureshore-Run: not-run\r\nAzureshore-Attempt: vm1-999\r\n"
         "Content-Length: 0\r\n\r\n",
         attempt_proof::wrong_echo},
    };
    for (const auto& each : rows) {
        BOOST_TEST_CONTEXT(each.answer.substr(0, 60))
        {
            const raw_server server([&](raw_connection& connection, int) {
                connection.read_request();
                connection.send(each.answer);
            });
            attempt_runner runner(server.port());
            check(runner.run("GET"), attempt_end::unknown, each.proof);
            check(runner.run("POST"), attempt_end::unknown, each.proof);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_refusal_before_running_and_a_missing_connection_prove_that_nothing_ran)
{
    std::uint16_t closed_port = 0;
    {
        const raw_server server([](raw_connection& connection, int) {
            connection.read_request();
            connection.send("HTTP/1.1 503 Draining\r\nAzureshore-Run: not-run\r\n"
                            "Azureshore-Instance: i7\r\nAzureshore-Load: running=2, slots=4\r\n"
                            "Content-Length: 0\r\n\r\n");
        });
        attempt_runner runner(server.port());
        const auto report = runner.run("POST", "x");
        check(report, attempt_end::not_run, attempt_proof::backend_refused);
        BOOST_TEST(report.instance == instance_id{"i7"});
        BOOST_TEST((report.load == wire::load_report{2, 4}));
        closed_port = server.port();
    }
    attempt_runner runner(closed_port);
    check(runner.run("POST", "x"), attempt_end::not_run, attempt_proof::never_connected);
}

BOOST_AUTO_TEST_CASE(a_cancelled_attempt_closes_its_connection_and_still_reports)
{
    std::atomic<int> closed = 0;
    std::atomic<bool> read = false;
    raw_server server([&](raw_connection& connection, int) {
        read = connection.read_request().has_value();
        connection.wait_for_close();
        ++closed;
    });
    attempt_runner runner(server.port());
    const auto first = runner.order("POST", "x");
    runner.client.start(first);
    runner.client.cancel(first.attempt);
    check(runner.wait(first.attempt), attempt_end::not_run, attempt_proof::cancelled);
    const auto second = runner.order("POST", "x");
    runner.client.start(second);
    runner.run_until([&] { return read.load(); });
    runner.client.cancel(second.attempt);
    check(runner.wait(second.attempt), attempt_end::unknown, attempt_proof::cancelled);
    while (closed == 0) {
        std::this_thread::yield();
    }
    BOOST_TEST(runner.client.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_after_the_timeout_does_not_reach_the_next_attempt)
{
    std::atomic<bool> gave_up = false;
    const raw_server server([&](raw_connection& connection, int number) {
        while (const auto request = connection.read_request()) {
            const auto name = test_support::field_of(*request, "Azureshore-Attempt");
            while (number == 0 && name == "vm1-2" && !gave_up) {
                std::this_thread::yield();
            }
            connection.send(answer_to(name, name));
        }
    });
    attempt_runner runner(server.port());
    check_answered(runner.run("GET"));
    runner.time_left = std::chrono::milliseconds(30);
    check(runner.run("GET"), attempt_end::unknown, attempt_proof::timed_out);
    gave_up = true;
    runner.time_left = std::chrono::seconds(5);
    check_answered(runner.run("GET"));
}

BOOST_AUTO_TEST_CASE(an_answer_sent_twice_does_not_reach_the_next_attempt)
{
    for (const bool echoes : {true, false}) {
        const raw_server server([&](raw_connection& connection, int) {
            while (const auto request = connection.read_request()) {
                const auto name = test_support::field_of(*request, "Azureshore-Attempt");
                const auto answer = answer_to(name, echoes ? name : "");
                connection.send(answer + answer);
            }
        });
        attempt_runner runner(server.port());
        for (int index = 0; index < 10; ++index) {
            const auto report = runner.run("GET");
            // A connection whose answers name no attempt is not kept, so the next attempt is
            // never the one to find out.
            if (!echoes || report.end == attempt_end::answered) {
                check_answered(report);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(a_probe_brings_health_instance_and_load)
{
    const raw_server server([](raw_connection& connection, int number) {
        connection.read_request();
        if (number == 0) {
            connection.send("HTTP/1.1 200 OK\r\nAzureshore-Instance: i1\r\n"
                            "Azureshore-Load: running=1, slots=2\r\nContent-Length: 0\r\n\r\n");
        }
    });
    attempt_runner runner(server.port());
    std::vector<std::optional<probe_answer>> answers;
    for (std::size_t count = 1; count <= 2; ++count) {
        runner.client.probe(runner.where, std::chrono::seconds(5),
                            [&](const auto& answer) { answers.push_back(answer); });
        runner.run_until([&] { return answers.size() == count; });
    }
    BOOST_TEST_REQUIRE(answers.at(0).has_value());
    BOOST_TEST(answers.at(0)->healthy);
    BOOST_TEST((answers.at(0)->load == wire::load_report{1, 2}));
    BOOST_TEST(!answers.at(1).has_value());
}

BOOST_AUTO_TEST_CASE(a_load_is_read_only_when_it_is_whole)
{
    BOOST_TEST((parse_load("running=2, slots=4") == wire::load_report{2, 4}));
    BOOST_TEST((parse_load("slots=4,running=0,cold=1") == wire::load_report{0, 4}));
    for (const auto* const text : {"", "running=2", "running=2, slots", "running=-1, slots=2",
                                   "running=2, slots=99999999999", "running=2; slots=4"}) {
        BOOST_TEST(!parse_load(text).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azureshore::proxy
