// Answers of backend servers whose head is not one: a status that is none, a name of a field with
// bytes that may not stand there, an end in the middle.

#include "gateway/running_gateway.hpp"
#include "support/broken_heads.hpp"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <iomanip>
#include <memory>
#include <utility>
#include <vector>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

const std::string status_line = "HTTP/1.1 200 OK\r\n";

// How a connection ends after a broken answer.
enum class ending { by_gateway, closed, reset };

// A gateway with one backend server, which gives one broken answer after the other.
class broken_answers {
public:
    broken_answers() { this->gateway.add_backend("plate-1", *this->backend); }

    // Checks that after this answer to a request that may not be repeated, its outcome is unknown
    // to its caller. The answer may name the request as `broken_answers::id`.
    void check_unknown(const std::string& answer, ending how, bool on_kept_connection = false)
    {
        this->next = answer;
        this->next_ending = how;
        this->runs = 0;
        if (on_kept_connection) {
            this->ask("GET /plates/first", "first");
        }
        // Equal requests that end connections would be taken for one that ends processes.
        const auto seen = this->ask("POST /orders/" + std::to_string(++this->number), id);
        BOOST_TEST_CONTEXT(std::quoted(answer))
        {
            BOOST_TEST(seen.starts_with("HTTP/1.1 502 "), seen);
            BOOST_TEST(this->runs == 1);
        }
    }

    static const std::string id;
    running_gateway gateway;

private:
    std::string ask(const std::string& line, const std::string& request_id)
    {
        raw_client caller(this->gateway.port());
        caller.send(request_text(line, request_id, "Connection: close\r\n",
                                 line.starts_with("POST") ? "x" : ""));
        return caller.read_to_end();
    }

    bool answer(raw_connection& connection, const std::string& request)
    {
        if (request.starts_with("GET ")) {
            connection.send(answer_to(request, "first"));
            return true;
        }
        ++this->runs;
        connection.send(this->next);
        if (this->next_ending == ending::by_gateway) {
            connection.wait_for_close();
        }
        if (this->next_ending == ending::reset) {
            connection.reset_at_end();
        }
        return false;
    }

    int number = 0;
    // Read by the backend server while the caller waits.
    std::string next;
    ending next_ending = ending::closed;
    std::atomic<int> runs{0};
    std::unique_ptr<raw_server> backend =
        make_backend("plate-1", [this](raw_connection& connection, const std::string& request) {
            return this->answer(connection, request);
        });
};

const std::string broken_answers::id = "r-1";

const std::string echo = "Request-Id: " + broken_answers::id + "\r\n";
const std::string signature = "Signature: s\r\n";

// Checks answers with this line at each place of their heads.
void check_line(broken_answers& of, const std::string& line, bool on_kept_connection)
{
    for (const auto& fields : fields_with(line, echo, signature)) {
        for (const auto& end : ends_of_answers()) {
            of.check_unknown(joined({status_line, fields, end}), ending::closed,
                             on_kept_connection);
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_broken_heads)

// Guards against a status that is none which reaches a caller.
BOOST_AUTO_TEST_CASE(an_answer_with_the_status_000_is_never_passed_on)
{
    broken_answers of;
    for (const std::string line : {"HTTP/1.1 000 \r\n", "HTTP/1.1 000\r\n", "HTTP/1.0 000 OK\r\n",
                                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n"}) {
        for (const auto& end : ends_of_answers()) {
            for (const auto how : {ending::by_gateway, ending::closed, ending::reset}) {
                for (const bool kept : {false, true}) {
                    of.check_unknown(joined({line, echo, signature, end}), how, kept);
                }
            }
        }
    }
}

// Guards against a damaged line that is passed on, or a body that is not the backend server's.
BOOST_AUTO_TEST_CASE(an_answer_with_a_damaged_name_of_a_field_is_never_passed_on)
{
    broken_answers of;
    bool kept = false;
    for (const char byte : bytes_of_no_name()) {
        for (const auto& name : names_with("X-Field", byte)) {
            kept = !kept;
            of.check_unknown(joined({status_line, echo, signature, name, ": 2\r\n\r\nno"}),
                             ending::closed, kept);
        }
        if (byte >= '\0' && byte <= ' ') {
            for (const auto& name : names_with("X-Field", byte)) {
                check_line(of, name + ": 2\r\n", kept);
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(an_answer_with_a_line_that_is_no_field_is_never_passed_on)
{
    broken_answers of;
    for (const auto& line : lines_of_no_field()) {
        for (const bool kept : {false, true}) {
            check_line(of, line, kept);
        }
    }
}

// Guards against an operator who can't find what is wrong, and a value that is secret in the log.
BOOST_AUTO_TEST_CASE(the_log_names_the_damaged_field_without_its_value)
{
    const std::vector<std::pair<std::string, std::string>> rows{
        {"Set-Coo\x01kie: secret\r\n", "Set-Coo?"},
        {"\rX-Field: secret\r\n", "?X"},
        {"X-Field: secret\x02\r\n", "X-Field:"},
    };
    for (const auto& [line, logged] : rows) {
        broken_answers of;
        of.check_unknown(joined({status_line, echo, line, "\r\n"}), ending::by_gateway);
        const auto log = of.gateway.log();
        BOOST_TEST(log.find("malformed_answer request=r-1 backend=plate-1 read=" + logged + '\n') !=
                       std::string::npos,
                   log);
        BOOST_TEST(log.find("secret") == std::string::npos);
    }
}

// Guards against a backend server that is taken for healthy by a damaged health answer.
BOOST_AUTO_TEST_CASE(a_health_answer_with_a_damaged_head_is_none)
{
    for (const std::string line : {" Content-Length: 0\r\n", "\rX: 1\r\n", "X\x01: 1\r\n"}) {
        std::atomic<int> runs{0};
        const raw_server damaged([&](raw_connection& connection, int) {
            while (const auto request = connection.read_request()) {
                runs += request->starts_with("GET /health ") ? 0 : 1;
                connection.send(joined(
                    {status_line, "Instance: damaged\r\n", line, "Content-Length: 0\r\n\r\n"}));
            }
        });
        const auto right =
            make_backend("plate-1", [](raw_connection& connection, const std::string& request) {
                connection.send(answer_to(request, "ok"));
                return true;
            });
        running_gateway gateway;
        gateway.add_backend("damaged", damaged);
        gateway.add_backend("plate-1", *right);
        raw_client caller(gateway.port());
        BOOST_TEST_CONTEXT(std::quoted(line))
        {
            for (int i = 0; i < 20; ++i) {
                caller.send(request_text("POST /orders/1", "r-1", "", "x"));
                BOOST_TEST(caller.read_until("\r\n\r\nok").starts_with("HTTP/1.1 200 "));
            }
            BOOST_TEST(runs == 0);
        }
    }
}

// Guards against a head that stops and passes for the whole of an answer without a body.
BOOST_AUTO_TEST_CASE(an_answer_that_stops_in_its_head_is_never_passed_on)
{
    broken_answers of;
    for (const std::string end : {"", "Content-Length: 0\r\n", "Content-Length: 2\r\n",
                                  "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"}) {
        for (const std::string status :
             {"200 OK", "204 No Content", "304 Not Modified", "503 Unavailable"}) {
            const auto whole = joined(
                {"HTTP/1.1 ", status, "\r\n", echo, signature, "Not-Run: 1\r\n", end, "\r\n"});
            // All places of one answer; within the last line and the line end before it of the
            // rest.
            const std::size_t first = end.empty() && status == "200 OK" ? 0 : whole.size() - 6;
            for (auto length = first; length < whole.size(); ++length) {
                for (const auto how : {ending::closed, ending::reset}) {
                    of.check_unknown(whole.substr(0, length), how, length % 2 == 0);
                }
            }
        }
    }
}

// The same for an idempotent request: another backend server answers it.
BOOST_AUTO_TEST_CASE(after_a_broken_head_an_idempotent_request_is_sent_to_another_server)
{
    const std::vector<std::string> all{
        "HTTP/1.1 000 OK\r\n" + signature + "\r\n", status_line + " X: 1\r\n" + signature + "\r\n",
        status_line + "\rX: 1\r\n" + signature + "\r\n", status_line + "Content-Length: 0\r\n"};
    for (const auto& broken : all) {
        std::atomic<int> came{0};
        const auto answer = [&](raw_connection& connection, const std::string& request) {
            const bool first = ++came == 1;
            connection.send(first ? broken : answer_to(request, "ok"));
            return !first;
        };
        running_gateway gateway;
        const auto one = make_backend("plate-1", answer);
        const auto other = make_backend("plate-2", answer);
        gateway.add_backend("plate-1", *one);
        gateway.add_backend("plate-2", *other);
        raw_client caller(gateway.port());
        caller.send(request_text("GET /plates/1", "r-1", "Connection: close\r\n"));
        const auto text = caller.read_to_end();
        BOOST_TEST_CONTEXT(std::quoted(broken))
        {
            BOOST_TEST(text.starts_with("HTTP/1.1 200 OK\r\n"), text);
            BOOST_TEST(text.ends_with("\r\n\r\nok"), text);
            BOOST_TEST(came == 2);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
