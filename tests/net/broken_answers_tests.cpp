// Answers that libcurl does not read as they are, or takes for whole ones though they are not.

#include "azureshore/net/http_client.hpp"
#include "support/broken_heads.hpp"
#include "support/raw_server.hpp"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <iomanip>
#include <optional>
#include <string>

namespace azureshore::net {

using namespace test_support;

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

// A client, and a server that gives one answer after the other.
class broken_answers {
public:
    // What the client makes of an answer after which the server closes or resets the connection.
    http_result read(const std::string& answer, bool reset = false,
                     const std::string& method = "GET", std::size_t body_bytes = 0)
    {
        this->next = answer;
        this->with_reset = reset;
        http_request request;
        request.where = {"127.0.0.1", this->server.port()};
        request.method = method;
        request.body = std::string(body_bytes, 'x');
        std::optional<http_result> result;
        this->client.start(std::move(request), [&](http_result given) {
            result = std::move(given);
            this->executor.stop();
        });
        this->executor.restart();
        this->executor.run();
        return std::move(result).value();
    }

    // Whether the stream ends in order before a reset.
    void end_before_reset(bool next_ends) { this->with_end_before_reset = next_ends; }

    void check_none(const std::string& answer, bool reset = false,
                    const std::string& method = "GET", std::size_t body_bytes = 0)
    {
        const auto result = this->read(answer, reset, method, body_bytes);
        BOOST_TEST((result.why != failure::none),
                   method << ' ' << std::quoted(answer) << (reset ? " and a reset" : "")
                          << " passed with status " << result.status << " and body "
                          << std::quoted(result.body));
    }

private:
    // Written between requests, read while one is under way.
    std::string next;
    bool with_reset = false;
    bool with_end_before_reset = false;
    raw_server server{[this](raw_connection& connection, int) {
        if (!connection.read_head()) {
            return;
        }
        // The client may be done, and the next answer be written, before sending returns.
        const auto answer = this->next;
        const bool resets = this->with_reset;
        const bool ends_first = this->with_end_before_reset;
        connection.send(answer);
        if (resets) {
            if (ends_first) {
                connection.finish_sending();
            }
            connection.reset_at_end();
        }
    }};
    asio::io_context executor;
    http_client client{this->executor};
};

void check_line(broken_answers& of, const std::string& line)
{
    for (const auto& fields : fields_with(line, "X-One: 1\r\n", "X-Other: 2\r\n")) {
        for (const auto& end : ends_of_answers()) {
            of.check_none(joined({status_line, fields, end}));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers_to_calls)

// Guards against a process that ends by an answer, as libcurl joins the line with one that it has
// freed.
BOOST_AUTO_TEST_CASE(a_first_line_that_begins_with_a_blank_does_no_harm_after_other_answers)
{
    broken_answers of;
    for (std::size_t bytes = 0; bytes < 1000; bytes += 10) {
        BOOST_TEST(
            (of.read(status_line + "X-One: 1\r\nContent-Length: 0\r\n\r\n").why == failure::none));
        of.read(joined(
            {status_line, " X-Field: ", std::string(bytes, 'x'), "\r\nContent-Length: 0\r\n\r\n"}));
    }
}

// Guards against a damaged line that is passed on, or that loses the framing of the answer.
BOOST_AUTO_TEST_CASE(an_answer_with_a_damaged_name_of_a_field_is_malformed)
{
    broken_answers of;
    for (const char byte : bytes_of_no_name()) {
        for (const std::string field : {"X-Field", "Content-Length"}) {
            for (const auto& name : names_with(field, byte)) {
                of.check_none(joined(
                    {status_line, "X-One: 1\r\n", name, ": 2\r\n", ends_of_answers().front()}));
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_line_that_is_no_field_is_malformed)
{
    broken_answers of;
    for (const auto& line : lines_of_no_field()) {
        check_line(of, line);
    }
    for (const std::string start : {" ", "\t", "\r", "\n"}) {
        check_line(of, start + "X-Field: 2\r\n");
    }
}

// Guards against a head that stops and passes for the whole of an answer without a body.
BOOST_AUTO_TEST_CASE(an_answer_that_stops_in_its_head_is_cut_short)
{
    broken_answers of;
    for (const std::string end :
         {"", "Content-Length: 0\r\n", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"}) {
        for (const std::string status : {"200 OK", "204 No Content", "304 Not Modified"}) {
            const auto whole = joined({"HTTP/1.1 ", status, "\r\nX-One: 1\r\n", end, "\r\n"});
            for (std::size_t length = 0; length < whole.size(); ++length) {
                of.check_none(whole.substr(0, length));
                of.check_none(whole.substr(0, length), false, "HEAD");
            }
            of.check_none(whole.substr(0, whole.size() - 2), true);
        }
    }
}

// Guards against a part of an answer that passes for a whole one, because the reset was told to the
// write of the request.
BOOST_AUTO_TEST_CASE(an_early_answer_that_a_reset_cuts_short_is_no_answer)
{
    constexpr std::size_t upload_bytes = 6UL * 1024UL * 1024UL;
    broken_answers of;
    for (const std::string end : {"\r\nno", "\r\n", "Content-Length: 5\r\n\r\nno",
                                  "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n"}) {
        for (int i = 0; i < 20; ++i) {
            of.end_before_reset(i % 2 == 1);
            of.check_none(status_line + end, true, "POST", upload_bytes);
        }
    }
}

// Guards against a check that is stricter than the protocol.
BOOST_AUTO_TEST_CASE(a_whole_answer_with_any_byte_of_a_name_is_read)
{
    broken_answers of;
    std::string name;
    for (int byte = 0; byte < 256; ++byte) {
        if (may_stand_in_a_name(static_cast<char>(byte))) {
            name += static_cast<char>(byte);
        }
    }
    for (const std::string body :
         {"Content-Length: 2\r\n\r\nok",
          "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n"}) {
        const auto result =
            of.read(joined({"HTTP/1.1 100 Continue\r\nX-Interim: 1\r\n\r\n", status_line, name,
                            ":\t a\t\xe4 b \r\nX-Empty:\r\n", body}));
        BOOST_TEST((result.why == failure::none));
        BOOST_TEST(result.body == "ok");
        BOOST_TEST(result.header(name) == "a\t\xe4 b");
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace azureshore::net
