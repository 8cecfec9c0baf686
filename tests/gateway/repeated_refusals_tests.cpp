// A backend server that writes an earlier answer once more on a kept connection, above all a
// refusal, which says that a request has not run. The copy must not be taken for the answer to a
// later one.

#include "gateway/running_gateway.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;
using namespace std::chrono_literals;

namespace {

enum class copy_comes { while_idle, before_health_answer, after_health_answer, with_next_request };

constexpr std::array all_moments{copy_comes::while_idle, copy_comes::before_health_answer,
                                 copy_comes::after_health_answer, copy_comes::with_next_request};
constexpr std::array pauses{0ms, 5ms, 50ms};

struct repeated_refusal {
    copy_comes when = copy_comes::with_next_request;
    // Before the copy, while idle, or after it until the request has run.
    std::chrono::milliseconds pause{};
    std::string status = "503 Service Unavailable";
    bool is_signed = true;
    // What the caller gives its two requests as an identifier; none if empty.
    std::array<std::string, 2> ids{"r-1", "r-1"};

    [[nodiscard]] bool is_refusal() const
    {
        return this->status.front() == '4' || this->status.starts_with("503");
    }
};

std::ostream& operator<<(std::ostream& out, const repeated_refusal& of)
{
    return out << "copy of " << of.status << " at moment " << static_cast<int>(of.when)
               << ", pause " << of.pause.count() << " ms, ids '" << of.ids[0] << "' and '"
               << of.ids[1] << (of.is_signed ? "', signed" : "', not signed");
}

std::string echo_of(const std::string& request)
{
    const auto id = field_of(request, "Request-Id");
    return id.empty() ? "" : "Request-Id: " + id + "\r\n";
}

std::string refusal_of(const repeated_refusal& how, const std::string& request)
{
    return "HTTP/1.1 " + how.status + "\r\n" + echo_of(request) +
           (how.is_signed ? "Signature: s\r\n" : "") + (how.is_refusal() ? "Not-Run: 1\r\n" : "") +
           "Content-Length: 0\r\n\r\n";
}

// Two backend servers that refuse each request to /first and run all others.
class refusing_servers {
public:
    refusing_servers(repeated_refusal as, running_gateway& gateway) : how(std::move(as))
    {
        for (const std::string name : {"plate-1", "plate-2"}) {
            this->servers.push_back(std::make_unique<raw_server>(
                [this, name](raw_connection& connection, int) { this->serve(connection, name); }));
            gateway.add_backend(name, *this->servers.back());
        }
    }

    std::atomic<int> runs{0};

private:
    void serve(raw_connection& connection, const std::string& name)
    {
        std::string refusal;
        while (const auto request = connection.read_request()) {
            if (request->starts_with("GET /health ")) {
                this->answer_health(connection, name, refusal);
            }
            else if (request->find("/first ") != std::string::npos) {
                refusal = refusal_of(this->how, *request);
                connection.send(refusal);
                if (this->how.when == copy_comes::while_idle) {
                    std::this_thread::sleep_for(this->how.pause);
                    connection.send(refusal);
                }
            }
            else {
                ++this->runs;
                if (this->how.when == copy_comes::with_next_request) {
                    connection.send(refusal);
                    std::this_thread::sleep_for(this->how.pause);
                }
                connection.send("HTTP/1.1 200 OK\r\n" + echo_of(*request) +
                                "Signature: s\r\nContent-Length: 2\r\n\r\nok");
            }
        }
    }

    void answer_health(raw_connection& connection, const std::string& name,
                       const std::string& refusal) const
    {
        if (this->how.when == copy_comes::before_health_answer) {
            connection.send(refusal);
        }
        connection.send("HTTP/1.1 200 OK\r\nInstance: " + name + "\r\nContent-Length: 0\r\n\r\n");
        if (this->how.when == copy_comes::after_health_answer) {
            connection.send(refusal);
        }
    }

    const repeated_refusal how;
    std::vector<std::unique_ptr<raw_server>> servers;
};

std::string ask(raw_client& caller, const std::string& line, const std::string& id)
{
    const std::string id_line = id.empty() ? "" : "Request-Id: " + id + "\r\n";
    caller.send(line + " HTTP/1.1\r\nHost: a.example\r\n" + id_line +
                "Deadline-Ms: 4000\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx");
    return caller.read_to_end();
}

// Two requests, the first of which is refused; gives the answer to the second one.
std::string second_answer(const running_gateway& gateway, const repeated_refusal& how,
                          const std::string& path)
{
    raw_client first(gateway.port());
    ask(first, "POST " + path + "first", how.ids[0]);
    raw_client second(gateway.port());
    return ask(second, "POST " + path + "second", how.ids[1]);
}

std::vector<repeated_refusal> all_cases()
{
    std::vector<repeated_refusal> all;
    for (const auto when : all_moments) {
        for (const auto pause : pauses) {
            all.push_back({when, pause});
            all.push_back({when, pause, "429 Too Many Requests"});
            all.push_back({when, pause, "421 Misdirected Request", false});
            all.push_back({when, pause, "503 Service Unavailable", true, {"r-1", "r-2"}});
            all.push_back({when, pause, "503 Service Unavailable", false, {"r-1", "r-2"}});
            all.push_back({when, pause, "400 Bad Request", true, {"", ""}});
            all.push_back({when, pause, "503 Service Unavailable", true, {"", "r-2"}});
            all.push_back({when, pause, "200 OK"});
            all.push_back({when, pause, "500 Internal Server Error"});
        }
    }
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(repeated_refusals)

// Guards against a caller that is told "not run" of a request that a server is running, and one
// that is sent to a second server meanwhile.
BOOST_AUTO_TEST_CASE(a_copy_of_an_earlier_answer_is_not_the_answer_to_a_later_request)
{
    for (const auto& how : all_cases()) {
        running_gateway gateway;
        refusing_servers servers(how, gateway);
        const auto answer = second_answer(gateway, how, "/orders/");
        BOOST_TEST_CONTEXT(how)
        {
            BOOST_TEST(answer.starts_with("HTTP/1.1 200 "), answer);
            BOOST_TEST(answer.ends_with("\r\n\r\nok"), answer);
            BOOST_TEST(servers.runs == 1);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
