#include "azureshore/net/http_client.hpp"
#include "azureshore/net/http_server.hpp"
#include "azureshore/net/status_line.hpp"
#include "support/raw_server.hpp"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <system_error>
#include <thread>

namespace azureshore::net {

namespace {

http_server echo_server(http_server_settings settings = {})
{
    settings.where.host = "127.0.0.1";
    http_server_hooks hooks;
    hooks.call = [](http_call call, const responder& answer) {
        http_answer given;
        given.status = 201;
        given.headers = {{"X-Method", call.method},
                         {"X-Target", call.target},
                         {"X-Seen", std::string(call.header("x-a"))}};
        given.body = std::move(call.body);
        answer(std::move(given));
    };
    return http_server(settings, std::move(hooks));
}

http_result run(http_request request)
{
    asio::io_context executor;
    http_client client(executor);
    std::optional<http_result> result;
    client.start(std::move(request), [&](http_result given) {
        result = std::move(given);
        executor.stop();
    });
    executor.run();
    return std::move(result).value();
}

http_request to_port(std::uint16_t port)
{
    http_request request;
    request.where = {"127.0.0.1", port};
    return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(http)

BOOST_AUTO_TEST_CASE(a_request_and_its_answer_arrive_as_they_were_sent)
{
    const auto server = echo_server();
    for (const std::string method : {"GET", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"}) {
        for (const std::size_t size : {std::size_t{0}, std::size_t{5}, std::size_t{300000}}) {
            auto request = to_port(server.port());
            request.method = method;
            request.target = "/a/../b%20c?d=e";
            request.headers = {{"X-A", "one, two"}};
            request.body = std::string(size, 'x');
            const auto result = run(request);
            BOOST_TEST((result.why == failure::none));
            BOOST_TEST(result.status == 201);
            BOOST_TEST(result.header("x-method") == method);
            BOOST_TEST(result.header("X-Target") == "/a/../b%20c?d=e");
            BOOST_TEST(result.header("X-Seen") == "one, two");
            BOOST_TEST((result.body == request.body));
        }
    }
}

// Guards against a status that is none, such as 0200, which libcurl takes for one.
BOOST_AUTO_TEST_CASE(an_answer_whose_status_is_none_is_malformed)
{
    for (const std::string status :
         {"000", "0", "00", "099", "20", "101", "600", "0200", "2000", " 200"}) {
        const test_support::raw_server server(
            [&status](test_support::raw_connection& connection, int) {
                connection.read_request();
                connection.send("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nno");
                connection.wait_for_close();
            });
        const auto result = run(to_port(server.port()));
        BOOST_TEST((result.why == failure::message_malformed), status);
        BOOST_TEST(result.status == 0, status);
        BOOST_TEST((result.elapsed < std::chrono::seconds(2)), status);
    }
}

// Guards against a server that holds a call by interim answers until its time is over.
BOOST_AUTO_TEST_CASE(interim_answers_are_bounded_in_number)
{
    for (const std::size_t count : {max_interim_answers, 2 * max_interim_answers}) {
        const test_support::raw_server server(
            [count](test_support::raw_connection& connection, int) {
                connection.read_request();
                for (std::size_t i = 0; i < count; ++i) {
                    connection.send("HTTP/1.1 102 Processing\r\n\r\n");
                }
                connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                connection.wait_for_close();
            });
        const auto result = run(to_port(server.port()));
        BOOST_TEST(result.status == (count == max_interim_answers ? 200 : 0));
    }
}

BOOST_AUTO_TEST_CASE(several_threads_share_one_kernel_chosen_port)
{
    http_server_settings settings;
    settings.threads = 3;
    const auto server = echo_server(settings);
    for (int count = 0; count < 20; ++count) {
        BOOST_TEST(run(to_port(server.port())).status == 201);
    }
}

BOOST_AUTO_TEST_CASE(a_port_in_use_is_not_shared_with_another_server)
{
    for (const std::size_t threads : {1, 3}) {
        http_server_settings settings;
        settings.threads = threads;
        const auto server = echo_server(settings);
        settings.where.port = server.port();
        BOOST_CHECK_THROW(echo_server(settings), std::system_error);
    }
}

BOOST_AUTO_TEST_CASE(a_stopped_server_takes_no_connection)
{
    auto server = echo_server();
    server.stop();
    const auto result = run(to_port(server.port()));
    BOOST_TEST((result.why == failure::connection_failed));
    BOOST_TEST(!result.connected);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azureshore::net
