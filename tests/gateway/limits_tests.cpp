#include "gateway/running_gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;

namespace {

bool answer_ok(raw_connection& connection, const std::string& request)
{
    connection.send(answer_to(request, "ok"));
    return true;
}

balance::caller_limits limits_of(std::size_t header_bytes, std::size_t body_bytes)
{
    balance::caller_limits limits;
    limits.max_header_bytes = header_bytes;
    limits.max_body_bytes = body_bytes;
    return limits;
}

std::string status_of(const std::string& answer)
{
    return answer.size() < 12 ? answer : answer.substr(9, 3);
}

// Waits until a request has begun to arrive.
void wait_until_read(running_gateway& gateway)
{
    for (std::size_t busy = 0; busy == 0;) {
        gateway.run([&busy](const gateway::http_gateway& of) { busy = of.in_flight(); });
    }
}

const std::string large_body(2UL * 1024UL * 1024UL, 'b');
const std::string large_field = "X-Large: " + std::string(50'000, 'f') + "\r\n";

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_limits)

// Guards against a refusal that callers don't retry, by limits that no operator has set.
BOOST_AUTO_TEST_CASE(a_gateway_without_a_configuration_calls_no_request_too_large)
{
    running_gateway gateway(std::nullopt);
    for (const auto& bytes :
         {request_text("POST /orders/1", "r-1", "", large_body),
          request_text("POST /orders/1", "r-2", "Content-Length: 60000000\r\n"),
          request_text("GET /plates/1", "r-3", large_field),
          request_text("POST /orders/1", "r-4", "Transfer-Encoding: chunked\r\n") + "200000\r\n" +
              large_body + "\r\n"}) {
        raw_client caller(gateway.port());
        caller.send(bytes);
        const auto answer = caller.read_until("\r\n\r\n");
        BOOST_TEST(status_of(answer) == "503");
        BOOST_TEST(field_of(answer, "Retry-After") != "");
        BOOST_TEST(field_of(answer, "Connection") == "close");
    }
    std::string page;
    gateway.run([&page](const gateway::http_gateway& of) { page = of.metrics(); });
    BOOST_TEST(page.find("azureshore_client_errors_total") == std::string::npos);
}

// Guards against limits that a connection keeps from the time when it was opened.
BOOST_AUTO_TEST_CASE(larger_limits_hold_for_the_next_request_of_an_open_connection)
{
    running_gateway gateway;
    gateway.configure(limits_of(400, 100));
    const auto backend = make_backend("plate-1", answer_ok);
    gateway.add_backend("plate-1", *backend);
    raw_client caller(gateway.port());
    caller.send(request_text("POST /orders/1", "r-1", "", "small"));
    BOOST_TEST(status_of(caller.read_until("ok")) == "200");
    gateway.configure(limits_of(60'000, large_body.size()));
    caller.send(request_text("POST /orders/1", "r-2", large_field, large_body));
    BOOST_TEST(status_of(caller.read_until("ok")) == "200");
}

// Guards against a request that is refused because its limits grew after its first byte had come:
// the operators' newest configuration allows it.
BOOST_AUTO_TEST_CASE(larger_limits_hold_for_a_request_that_is_half_read)
{
    running_gateway gateway;
    gateway.configure(limits_of(400, 100));
    const auto backend = make_backend("plate-1", answer_ok);
    gateway.add_backend("plate-1", *backend);
    for (const auto& bytes :
         {request_text("POST /orders/1", "r-1", large_field, large_body),
          request_text("POST /orders/1", "r-2", "Transfer-Encoding: chunked\r\n") + "200000\r\n" +
              large_body + "\r\n0\r\n\r\n"}) {
        gateway.configure(limits_of(400, 100));
        raw_client caller(gateway.port());
        caller.send(std::string_view(bytes).substr(0, 150));
        wait_until_read(gateway);
        gateway.configure(limits_of(60'000, large_body.size()));
        caller.send(std::string_view(bytes).substr(150));
        BOOST_TEST(status_of(caller.read_until("ok")) == "200");
    }
}

// Guards against a request that is refused by limits that came after its first byte: those before
// allowed it.
BOOST_AUTO_TEST_CASE(smaller_limits_do_not_hold_for_a_request_that_is_half_read)
{
    running_gateway gateway;
    gateway.configure(limits_of(60'000, large_body.size()));
    const auto backend = make_backend("plate-1", answer_ok);
    gateway.add_backend("plate-1", *backend);
    const auto bytes = request_text("POST /orders/1", "r-1", large_field, large_body);
    raw_client caller(gateway.port());
    caller.send(std::string_view(bytes).substr(0, 150));
    wait_until_read(gateway);
    gateway.configure(limits_of(400, 100));
    caller.send(std::string_view(bytes).substr(150));
    BOOST_TEST(status_of(caller.read_until("ok")) == "200");
    caller.send(request_text("POST /orders/1", "r-2", "", std::string(101, 'b')));
    BOOST_TEST(status_of(caller.read_until("\r\n\r\n")) == "413");
}

BOOST_AUTO_TEST_SUITE_END()
