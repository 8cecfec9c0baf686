// Answers that libcurl does not read as they are.

#include "azureshore/net/http_client.hpp"
#include "support/raw_server.hpp"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

namespace azureshore::net {

using namespace test_support;

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

// A client, and a server that gives one answer after the other.
class broken_answers {
public:
    // What the client makes of an answer after which the server closes the connection.
    http_result read(const std::string& answer)
    {
        this->next = answer;
        http_request request;
        request.where = {"127.0.0.1", this->server.port()};
        std::optional<http_result> result;
        this->client.start(std::move(request), [&](http_result given) {
            result = std::move(given);
            this->executor.stop();
        });
        this->executor.restart();
        this->executor.run();
        return std::move(result).value();
    }

private:
    // Written between requests, read while one is under way.
    std::string next;
    raw_server server{[this](raw_connection& connection, int) {
        if (connection.read_head()) {
            connection.send(this->next);
        }
    }};
    asio::io_context executor;
    http_client client{this->executor};
};

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers_to_calls)

// Guards against a process that ends by an answer, as libcurl joins the line with one that it has
// freed.
BOOST_AUTO_TEST_CASE(a_first_line_that_begins_with_a_blank_does_no_harm_after_other_answers)
{
    broken_answers of;
    for (int i = 0; i < 100; ++i) {
        BOOST_TEST(
            (of.read(status_line + "X-One: 1\r\nContent-Length: 0\r\n\r\n").why == failure::none));
        of.read(status_line + " X-Field: " + std::string(10 * i, 'x') +
                "\r\nContent-Length: 0\r\n\r\n");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azureshore::net
