#include "gateway/running_gateway.hpp"

#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

// A backend server that answers a request when a test lets it.
class gated_backend {
public:
    gated_backend()
        : server(
              make_backend("plate-1", [this](raw_connection& connection, const std::string& text) {
                  return this->serve(connection, text);
              }))
    {
    }

    ~gated_backend() { this->open_all(); }
    gated_backend(const gated_backend&) = delete;
    gated_backend& operator=(const gated_backend&) = delete;
    gated_backend(gated_backend&&) = delete;
    gated_backend& operator=(gated_backend&&) = delete;

    void open(const std::string& id)
    {
        const std::scoped_lock hold(this->mutex);
        this->opened.insert(id);
        this->changed.notify_all();
    }

    void open_all()
    {
        const std::scoped_lock hold(this->mutex);
        this->all_opened = true;
        this->changed.notify_all();
    }

    // Whether a request comes within five seconds.
    bool came(const std::string& id)
    {
        std::unique_lock hold(this->mutex);
        return this->changed.wait_for(hold, 5s, [&] { return this->has(id); });
    }

    // Whether a request has come, after a time in which one that is begun would have.
    bool came_by_now(const std::string& id)
    {
        std::this_thread::sleep_for(100ms);
        const std::scoped_lock hold(this->mutex);
        return this->has(id);
    }

    std::size_t count()
    {
        const std::scoped_lock hold(this->mutex);
        return this->ids.size();
    }

private:
    bool has(const std::string& id) const
    {
        return std::find(this->ids.begin(), this->ids.end(), id) != this->ids.end();
    }

    bool serve(raw_connection& connection, const std::string& text)
    {
        const auto id = field_of(text, "Request-Id");
        {
            std::unique_lock hold(this->mutex);
            this->ids.push_back(id);
            this->changed.notify_all();
            this->changed.wait(hold, [&] { return this->all_opened || this->opened.contains(id); });
        }
        connection.send(text.starts_with("HEAD ")
                            ? "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\n\r\n"
                            : answer_to(text, "body of " + id));
        return true;
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> ids;
    std::set<std::string> opened;
    bool all_opened = false;

public:
    std::unique_ptr<raw_server> server;
};

struct served_gateway {
    served_gateway() { this->gateway.add_backend("plate-1", *this->backend.server); }

    running_gateway gateway;
    gated_backend backend;
};

std::string safe(const std::string& id, const std::string& more_fields = "")
{
    return request_text("GET /plates/" + id, id, more_fields);
}

std::string unsafe(const std::string& id, const std::string& more_fields = "")
{
    return request_text("POST /orders/" + id, id, more_fields, "x");
}

// Whether texts stand in another one in this order.
bool in_order(const std::string& text, const std::vector<std::string>& parts)
{
    std::size_t from = 0;
    for (const auto& each : parts) {
        from = text.find(each, from);
        if (from == std::string::npos) {
            return false;
        }
    }
    return true;
}

std::size_t in_flight(running_gateway& gateway)
{
    std::size_t count = 0;
    gateway.run([&count](const gateway::http_gateway& of) { count = of.in_flight(); });
    return count;
}

constexpr auto closes = "Connection: close\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_pipelines)

// Guards against requests that wait for the answers before theirs, and against answers that leave
// in another order than their requests.
BOOST_AUTO_TEST_CASE(idempotent_requests_run_together_and_are_answered_in_order)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + safe("r-2") + safe("r-3", closes));
    for (const std::string id : {"r-3", "r-2", "r-1"}) {
        BOOST_TEST(of.backend.came(id));
        of.backend.open(id);
    }
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "body of r-2", "body of r-3"}), answers);
    std::string page;
    of.gateway.run([&page](const gateway::http_gateway& from) { page = from.metrics(); });
    BOOST_TEST(page.find("azureshore_pipelined_requests_total 2\n") != std::string::npos);
}

// Guards against a request that runs although its connection may close before its turn, so that
// its caller takes it for not read and sends it again.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_idempotent_waits_for_all_answers_before_it)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + safe("r-2") + unsafe("o-3") + safe("r-4", closes));
    BOOST_TEST(of.backend.came("r-1"));
    of.backend.open("r-2");
    BOOST_TEST(of.backend.came("r-2"));
    BOOST_TEST(!of.backend.came_by_now("o-3"));
    of.backend.open("r-1");
    BOOST_TEST(of.backend.came("o-3"));
    BOOST_TEST(of.backend.came("r-4"));
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "body of r-2", "body of o-3", "body of r-4"}),
               answers);
    BOOST_TEST(of.backend.count() == 4U);
}

// Guards against a configuration that is not asked: without a route nothing may run early.
BOOST_AUTO_TEST_CASE(a_request_without_a_route_waits_and_is_refused_in_its_turn)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + request_text("GET /nowhere", "n-2", closes));
    BOOST_TEST(of.backend.came("r-1"));
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"HTTP/1.1 200 ", "body of r-1", "HTTP/1.1 404 "}), answers);
}

// Guards against a malformed request that takes the answers to those before it with it.
BOOST_AUTO_TEST_CASE(requests_before_a_malformed_one_are_answered)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + safe("r-2") + "nonsense\r\n\r\n" + safe("r-4"));
    BOOST_TEST(of.backend.came("r-2"));
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "body of r-2", "HTTP/1.1 400 "}), answers);
    BOOST_TEST(field_of(answers.substr(answers.find("HTTP/1.1 400")), "Connection") == "close");
    BOOST_TEST(of.backend.count() == 2U);
}

// Guards against backend servers that work on for a caller who has left.
BOOST_AUTO_TEST_CASE(all_requests_of_a_caller_that_leaves_end)
{
    std::mutex mutex;
    std::condition_variable changed;
    int begun = 0;
    int ended = 0;
    const auto backend = make_backend("plate-1", [&](raw_connection& connection, const auto&) {
        const auto count = [&](int& which) {
            const std::scoped_lock hold(mutex);
            ++which;
            changed.notify_all();
        };
        count(begun);
        connection.wait_for_close();
        count(ended);
        return false;
    });
    running_gateway gateway;
    gateway.add_backend("plate-1", *backend);
    {
        raw_client caller(gateway.port());
        caller.send(safe("r-1") + safe("r-2") + safe("r-3") + unsafe("o-4"));
        std::unique_lock hold(mutex);
        BOOST_TEST(changed.wait_for(hold, 5s, [&] { return begun == 3; }));
    }
    std::unique_lock hold(mutex);
    BOOST_TEST(changed.wait_for(hold, 5s, [&] { return ended == 3; }));
    BOOST_TEST(begun == 3);
    hold.unlock();
    BOOST_TEST(in_flight(gateway) == 0U);
}

// Guards against bodies that are framed by the wrong request's method.
BOOST_AUTO_TEST_CASE(answers_without_a_body_and_bodies_in_chunks_keep_their_places)
{
    served_gateway of;
    of.backend.open_all();
    raw_client caller(of.gateway.port());
    caller.send(request_text("HEAD /plates/1", "h-1") +
                request_text("PUT /plates/2", "r-2", "Transfer-Encoding: chunked\r\n") +
                "3\r\nabc\r\n0\r\n\r\n" + request_text("HEAD /plates/3", "h-3") +
                safe("r-4", closes));
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"Request-Id: h-1", "Request-Id: r-2", "body of r-2HTTP/1.1 200",
                                  "Request-Id: h-3", "Request-Id: r-4", "body of r-4"}),
               answers);
    BOOST_TEST(answers.find("body of h-") == std::string::npos);
}

// Guards against a caller that takes more of the daemon than its part, or is never read again.
BOOST_AUTO_TEST_CASE(a_thousand_requests_in_one_packet_are_begun_a_few_at_a_time)
{
    served_gateway of;
    std::string all;
    std::vector<std::string> ids;
    for (int i = 0; i < 1000; ++i) {
        ids.push_back(fmt::format("r-{}", i));
        all += safe(ids.back(), i == 999 ? closes : "");
        ids.back() = "body of " + ids.back();
    }
    raw_client caller(of.gateway.port());
    // The gateway reads so little ahead that a blocking send could wait for it.
    std::thread sender([&] { caller.send(all); });
    BOOST_TEST(of.backend.came("r-0"));
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(in_flight(of.gateway) <= 17U);
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    sender.join();
    BOOST_TEST(in_order(answers, ids));
    BOOST_TEST(of.backend.count() == 1000U);
}

// Guards against a planned stop that begins what it can't answer, or drops what it could.
BOOST_AUTO_TEST_CASE(while_it_stops_requests_that_were_begun_are_answered_and_no_other_is_begun)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + safe("r-2") + unsafe("o-3") + safe("r-4"));
    BOOST_TEST(of.backend.came("r-1"));
    BOOST_TEST(of.backend.came("r-2"));
    of.gateway.run([](gateway::http_gateway& gateway) {
        const auto now = std::chrono::steady_clock::now();
        gateway.begin_stop({now + std::chrono::seconds(3), now + std::chrono::seconds(6)});
        gateway.stop();
    });
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "Connection: close", "body of r-2"}), answers);
    BOOST_TEST(of.backend.count() == 2U);
    BOOST_TEST(in_flight(of.gateway) == 0U);
}

// Guards against an interim answer that is taken for one to an earlier request, and against a
// caller whose time for its body runs before it is told to send it.
BOOST_AUTO_TEST_CASE(a_caller_is_told_to_send_its_body_after_the_answers_before_it)
{
    served_gateway of;
    balance::caller_limits limits;
    limits.header_timeout = 200ms;
    of.gateway.configure(limits);
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + request_text("PUT /plates/2", "r-2",
                                           "Expect: 100-continue\r\nConnection: close\r\n"
                                           "Content-Length: 3\r\n"));
    BOOST_TEST(of.backend.came("r-1"));
    std::this_thread::sleep_for(1000ms);
    of.backend.open_all();
    const auto begin = caller.read_until("HTTP/1.1 100 Continue\r\n\r\n");
    BOOST_TEST(in_order(begin, {"body of r-1", "HTTP/1.1 100 "}), begin);
    caller.send("abc");
    BOOST_TEST(caller.read_to_end().ends_with("body of r-2"));
}

// Guards against a caller that holds a connection by a request that never comes whole.
BOOST_AUTO_TEST_CASE(a_header_that_is_not_whole_in_time_is_refused_after_the_answers_before_it)
{
    served_gateway of;
    balance::caller_limits limits;
    limits.header_timeout = 50ms;
    of.gateway.configure(limits);
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + "GET /plates/2 HTTP/1.1\r\nHos");
    BOOST_TEST(of.backend.came("r-1"));
    std::this_thread::sleep_for(100ms);
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "HTTP/1.1 408 "}), answers);
}

// Guards against a large body behind an unanswered request that is held in memory, or refused.
BOOST_AUTO_TEST_CASE(a_large_body_behind_an_unanswered_request_is_read_in_its_turn)
{
    served_gateway of;
    balance::caller_limits limits;
    limits.max_body_bytes = 16UL * 1024UL * 1024UL;
    of.gateway.configure(limits);
    raw_client caller(of.gateway.port());
    std::thread sender([&] {
        caller.send(safe("r-1") + request_text("PUT /plates/2", "r-2", closes,
                                               std::string(limits.max_body_bytes, 'b')));
    });
    BOOST_TEST(of.backend.came("r-1"));
    BOOST_TEST(!of.backend.came_by_now("r-2"));
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    sender.join();
    BOOST_TEST(in_order(answers, {"body of r-1", "body of r-2"}));
}

// Guards against a request that runs after its caller has given it up.
BOOST_AUTO_TEST_CASE(the_time_of_a_request_that_waits_for_its_turn_runs_from_its_arrival)
{
    served_gateway of;
    raw_client caller(of.gateway.port());
    caller.send(safe("r-1") + "POST /orders/2 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: o-2\r\n"
                              "Deadline-Ms: 200\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    BOOST_TEST(of.backend.came("r-1"));
    std::this_thread::sleep_for(400ms);
    of.backend.open_all();
    const auto answers = caller.read_to_end();
    BOOST_TEST(in_order(answers, {"body of r-1", "HTTP/1.1 50"}), answers);
    BOOST_TEST(of.backend.count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
