// Answers of the store that are none: a call fails as it does without an answer.

#include "platform/store_calls.hpp"
#include "support/raw_server.hpp"

#include <asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <iomanip>
#include <optional>

using namespace azureshore;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

constexpr duration timeout = 2s;
const std::string topic = "keyed.mine";

// A store that gives the same answer to every call and closes.
class broken_store {
public:
    explicit broken_store(std::string answer) : given(std::move(answer)) {}

    platform::keyed_list list()
    {
        return this->wait_for<platform::keyed_list>(
            [this](auto done) { this->opened().list(std::move(done)); });
    }

    platform::keyed_read read()
    {
        return this->wait_for<platform::keyed_read>(
            [this](auto done) { this->opened().read(0, 0ms, std::move(done)); });
    }

    bool append()
    {
        return this->wait_for<bool>([this](auto done) {
            users_platform::append_keyed(this->http, this->where(), timeout, topic, "key", "value",
                                         std::move(done));
        });
    }

private:
    [[nodiscard]] address where() const { return {"127.0.0.1", this->server.port()}; }

    platform::keyed_topic opened()
    {
        return users_platform::open_topic(this->http, this->where(), timeout, topic);
    }

    template <typename result>
    result wait_for(const std::function<void(std::function<void(result)>)>& call)
    {
        std::optional<result> came;
        call([&came](result given_result) { came = std::move(given_result); });
        this->executor.restart();
        while (!came) {
            this->executor.run_one();
        }
        return std::move(*came);
    }

    std::string given;
    raw_server server{[this](raw_connection& connection, int) {
        if (connection.read_request()) {
            connection.send(this->given);
        }
    }};
    asio::io_context executor;
    net::http_client http{this->executor};
};

// Whole answers to a list, a read at the end of a topic and an append.
const std::string page = R"({"items": [], "more": false, "end_offset": 0})";
const std::string no_records(16, '\0');
const std::string appended = R"({"offset": 0, "end_offset": 1})";

std::string answer_with(const std::string& status, const std::string& line, const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\nStore-Era: 1\r\n" + line +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(broken_answers_of_the_store)

// Guards against tests that pass because the answers are wrong in more than one place.
BOOST_AUTO_TEST_CASE(the_same_answers_are_taken_when_they_are_whole)
{
    BOOST_TEST(broken_store(answer_with("200 OK", "", page)).list().ok);
    BOOST_TEST((broken_store(answer_with("200 OK", "", no_records)).read().outcome ==
                platform::read_outcome::ok));
    BOOST_TEST(broken_store(answer_with("200 OK", "", appended)).append());
}

// Guards against records, or an acknowledgement, from an answer that is damaged.
BOOST_AUTO_TEST_CASE(a_status_of_000_or_a_damaged_line_makes_a_call_fail)
{
    const std::vector<std::pair<std::string, std::string>> rows{
        {"000 OK", ""},        {"200 OK", "X Y: 1\r\n"},   {"200 OK", " X: 1\r\n"},
        {"200 OK", "\rX\r\n"}, {"200 OK", "X\x01: 1\r\n"}, {"200 OK", "X\x80: 1\r\n"},
    };
    for (const auto& [status, line] : rows) {
        BOOST_TEST_CONTEXT(status << ' ' << std::quoted(line))
        {
            BOOST_TEST(!broken_store(answer_with(status, line, page)).list().ok);
            BOOST_TEST((broken_store(answer_with(status, line, no_records)).read().outcome ==
                        platform::read_outcome::unavailable));
            BOOST_TEST(!broken_store(answer_with(status, line, appended)).append());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_head_that_stops_makes_a_call_fail)
{
    const std::string whole = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t length = 0; length < whole.size(); ++length) {
        broken_store store(whole.substr(0, length));
        BOOST_TEST(!store.list().ok);
        BOOST_TEST((store.read().outcome == platform::read_outcome::unavailable));
        BOOST_TEST(!store.append());
    }
}

BOOST_AUTO_TEST_SUITE_END()
