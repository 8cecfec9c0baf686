// A port whose callers want more memory or connections than there are.

#include "azureshore/gateway/http_port.hpp"
#include "azureshore/gateway/internal/request_memory.hpp"
#include "support/raw_client.hpp"
#include "support/raw_server.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <thread>

using namespace azureshore;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t memory_bytes = 400'000;
constexpr std::size_t large_bytes = 250'000;
const std::string large_body(large_bytes, 'b');
constexpr std::size_t unread_bytes = 900'000;

// Answers each request with its body, and a GET with a large one.
struct small_port {
    asio::io_context executor{1};
    std::shared_ptr<gateway::detail::request_memory> memory;
    gateway::http_port port;
    std::thread running;

    explicit small_port(std::size_t bytes = memory_bytes)
        : memory(std::make_shared<gateway::detail::request_memory>(bytes)),
          port(this->executor, {"127.0.0.1", 0},
               {[this](request_number number, http1::request request, time_point) {
                    http1::response answer;
                    answer.body = request.method == "GET" ? std::string(unread_bytes, 'u')
                                                          : std::move(request.body);
                    this->port.answer(number, std::move(answer));
                },
                nullptr, nullptr, nullptr},
               {this->memory, 3})
    {
        balance::caller_limits limits;
        limits.header_timeout = 1s;
        limits.max_body_bytes = 2 * this->memory->ceiling_bytes();
        this->port.set_limits(limits);
        this->running = std::thread([this] { this->executor.run(); });
    }

    ~small_port()
    {
        this->executor.stop();
        this->running.join();
    }
    small_port(const small_port&) = delete;
    small_port& operator=(const small_port&) = delete;
    small_port(small_port&&) = delete;
    small_port& operator=(small_port&&) = delete;

    // Waits until the port holds so much, as its thread sees it.
    void await_held(const std::function<bool(std::size_t)>& enough)
    {
        for (bool reached = false; !reached;) {
            std::promise<std::size_t> held;
            this->executor.post([&] { held.set_value(this->memory->held_bytes()); });
            reached = enough(held.get_future().get());
        }
    }
};

std::string head_of(const std::string& fields)
{
    return "POST / HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n";
}

std::string sized(std::size_t bytes)
{
    return head_of("Content-Length: " + std::to_string(bytes) + "\r\n");
}

bool refused_for_now(const std::string& answer)
{
    return answer.starts_with("HTTP/1.1 503 ") && !field_of(answer, "Retry-After").empty() &&
           field_of(answer, "Connection") == "close";
}

} // namespace

BOOST_AUTO_TEST_SUITE(full_memory)

// Guards against bodies that are read though there is no room for them, and against memory that
// isn't free again after an answer.
BOOST_AUTO_TEST_CASE(a_body_without_room_is_refused_before_it_is_read_and_small_ones_are_served)
{
    small_port of;
    raw_client first(of.port.port());
    first.send(sized(large_bytes) + "begin");
    of.await_held([](std::size_t held) { return held >= large_bytes; });
    raw_client second(of.port.port());
    second.send(sized(large_bytes));
    BOOST_TEST(refused_for_now(second.read_to_end()));
    raw_client third(of.port.port());
    third.send(sized(5) + "small");
    BOOST_TEST(third.read_until("small").starts_with("HTTP/1.1 200 "));
    first.send(large_body.substr(6) + "e");
    BOOST_TEST(first.read_until("e").starts_with("HTTP/1.1 200 "));
    of.await_held([](std::size_t held) { return held == 0; });
}

BOOST_AUTO_TEST_CASE(a_chunked_body_that_no_longer_fits_is_refused)
{
    small_port of;
    raw_client caller(of.port.port());
    caller.send(head_of("Transfer-Encoding: chunked\r\n") + "61a80\r\n");
    caller.send(std::string(memory_bytes, 'x'));
    BOOST_TEST(refused_for_now(caller.read_to_end()));
    of.await_held([](std::size_t held) { return held == 0; });
}

// Guards against bodies that stop short of their end and hold their memory until their time is
// over.
BOOST_AUTO_TEST_CASE(a_body_that_has_stopped_arriving_makes_room_for_another)
{
    small_port of;
    raw_client stalled(of.port.port());
    stalled.send(sized(large_bytes) + "begin");
    of.await_held([](std::size_t held) { return held >= large_bytes; });
    std::this_thread::sleep_for(1100ms);
    raw_client next(of.port.port());
    next.send(sized(large_bytes) + large_body.substr(1) + 'e');
    BOOST_TEST(next.read_until("e").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(stalled.read_to_end().starts_with("HTTP/1.1 408 "));
}

// Guards against a connection that is used on after its own answer was given up for the request
// that it reads.
BOOST_AUTO_TEST_CASE(an_unread_answer_is_given_up_for_the_next_request_of_its_connection)
{
    small_port of(2'000'000);
    raw_client caller(of.port.port());
    // The kernel takes some answers until one of them stays.
    std::size_t held = 0;
    while (held < unread_bytes) {
        caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(200ms);
        of.await_held([&held](std::size_t now) {
            held = now;
            return true;
        });
    }
    std::this_thread::sleep_for(1100ms);
    caller.send(sized(1'500'000) + "begin");
    of.await_held([](std::size_t now) { return now == 0; });
    raw_client next(of.port.port());
    next.send(sized(2) + "ok");
    BOOST_TEST(next.read_until("ok").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(of.memory->reclaims() == 1);
}

// Guards against idle connections that leave none for others.
BOOST_AUTO_TEST_CASE(a_new_caller_gets_the_connection_that_was_idle_for_longest)
{
    small_port of;
    raw_client idle(of.port.port());
    idle.send(sized(2) + "ok");
    BOOST_TEST(idle.read_until("ok").starts_with("HTTP/1.1 200 "));
    raw_client half_sent(of.port.port());
    half_sent.send("POST / HTTP/1.1\r\n");
    raw_client third(of.port.port());
    third.send(sized(2) + "ok");
    third.read_until("ok");
    raw_client fourth(of.port.port());
    fourth.send(sized(2) + "ok");
    BOOST_TEST(fourth.read_until("ok").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(idle.read_to_end().empty());
    half_sent.send("Host: a\r\nContent-Length: 2\r\n\r\nok");
    BOOST_TEST(half_sent.read_until("ok").starts_with("HTTP/1.1 200 "));
    BOOST_TEST(of.port.closed_for_room() == 1);
}

BOOST_AUTO_TEST_SUITE_END()
