#include "azureshore/http1/message_reader.hpp"
#include "support/broken_heads.hpp"

#include <boost/test/unit_test.hpp>

#include <iomanip>
#include <string>
#include <vector>

using namespace azureshore;
using namespace azureshore::http1;
using namespace azureshore::test_support;

namespace {

std::vector<std::string> answers_with(const std::string& line)
{
    std::vector<std::string> answers;
    for (const auto& fields : fields_with(line, "Request-Id: r-1\r\n", "Signature: s\r\n")) {
        for (const auto& end : ends_of_answers()) {
            answers.push_back(joined({"HTTP/1.1 200 OK\r\n", fields, end}));
        }
    }
    return answers;
}

// The state after an answer that comes in parts of that many bytes and ends with its connection.
read_state state_after(const std::string& bytes, std::size_t step)
{
    message_reader reader(message_kind::response, {});
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        reader.feed(std::string_view(bytes).substr(at, step));
    }
    reader.end_of_stream();
    return reader.state();
}

void check_malformed(const std::string& line)
{
    for (const auto& answer : answers_with(line)) {
        for (const std::size_t step : {answer.size(), std::size_t{1}}) {
            BOOST_TEST((state_after(answer, step) == read_state::malformed),
                       std::quoted(answer) << " in parts of " << step);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(field_names)

// Guards against a damaged line that is passed on, or that loses the framing of the answer.
BOOST_AUTO_TEST_CASE(an_answer_with_a_byte_in_a_name_that_may_not_stand_there_is_malformed)
{
    for (const char byte : bytes_of_no_name()) {
        for (const std::string field : {"X-Field", "Content-Length", "Transfer-Encoding"}) {
            for (const auto& name : names_with(field, byte)) {
                check_malformed(name + (field == "Transfer-Encoding" ? ": chunked" : ": 2") +
                                "\r\n");
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_line_that_is_no_field_is_malformed)
{
    for (const auto& line : lines_of_no_field()) {
        check_malformed(line);
    }
}

// Guards against a check that is stricter than the protocol.
BOOST_AUTO_TEST_CASE(an_answer_with_any_byte_of_a_name_is_read)
{
    std::string name;
    for (int byte = 0; byte < 256; ++byte) {
        if (may_stand_in_a_name(static_cast<char>(byte))) {
            name += static_cast<char>(byte);
        }
    }
    for (const auto& answer : answers_with(name + ":\t a\t\xe4 b \r\nX-Empty:\r\n")) {
        for (const std::size_t step : {answer.size(), std::size_t{1}}) {
            BOOST_TEST((state_after(answer, step) == read_state::complete), answer);
        }
    }
}

BOOST_AUTO_TEST_CASE(lines_that_end_with_a_line_feed_alone_are_read)
{
    BOOST_TEST(
        (state_after("HTTP/1.1 200 OK\nX: 1\nContent-Length: 2\n\nok", 1) == read_state::complete));
}

BOOST_AUTO_TEST_SUITE_END()
