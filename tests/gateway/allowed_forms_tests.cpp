#include "gateway/running_gateway.hpp"
#include "support/environment.hpp"
#include "support/request_forms.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <mutex>
#include <vector>

using namespace azureshore;
using namespace azureshore::test;
using namespace azureshore::test_support;

namespace {

constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";

form_frame frame_for(int number)
{
    form_frame frame;
    frame.fields = {{"Request-Id", "r-" + std::to_string(number)}, {"Deadline-Ms", "4000"}};
    return frame;
}

balance::caller_limits limits_of(const form_frame& frame)
{
    balance::caller_limits limits;
    limits.max_header_bytes = frame.max_header_bytes;
    limits.max_body_bytes = frame.max_body_bytes;
    return limits;
}

// A gateway with a backend server that keeps what it was sent.
class recording_gateway {
public:
    recording_gateway()
        : backend(make_backend("plate-1",
                               [this](raw_connection& connection, const std::string& request) {
                                   {
                                       const std::lock_guard hold(this->lock);
                                       this->last = request;
                                   }
                                   connection.send(answer_to(request, ""));
                                   return true;
                               }))
    {
        this->gateway.configure(limits_of({}));
        this->gateway.add_backend("plate-1", *this->backend);
    }

    std::string last_request()
    {
        const std::lock_guard hold(this->lock);
        return this->last;
    }

    running_gateway gateway;

private:
    std::mutex lock;
    std::string last;
    std::unique_ptr<raw_server> backend;
};

std::vector<std::string> lines_of(const std::string& text)
{
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < text.size();) {
        const auto end = std::min(text.find("\r\n", at), text.size());
        lines.push_back(text.substr(at, end - at));
        at = end + 2;
    }
    return lines;
}

// The fields that go on to the backend server as they came.
std::vector<std::string> end_to_end_lines(const request_form& form)
{
    const std::vector<std::string> own{"Host",  "Deadline-Ms", "Connection", "Transfer-Encoding",
                                       "X-Hop", "Upgrade",     "TE",         "Content-Length",
                                       "Expect"};
    std::vector<std::string> lines;
    for (const auto& each : form.meaning.fields) {
        if (std::none_of(own.begin(), own.end(), [&](const std::string& name) {
                return net::same_name(name, each.name);
            })) {
            lines.push_back(each.name + ": " + each.value);
        }
    }
    return lines;
}

// Says in what the request that reached the backend server differs; empty if in nothing.
std::string difference(const std::string& came, const request_form& form)
{
    const auto head_end = came.find("\r\n\r\n");
    const auto lines = lines_of(came.substr(0, head_end));
    if (lines.empty() ||
        lines[0] != form.meaning.method + " " + form.path_and_query + " HTTP/1.1") {
        return "start line " + came.substr(0, came.find('\r'));
    }
    for (const auto& each : end_to_end_lines(form)) {
        if (std::count(lines.begin(), lines.end(), each) == 0) {
            return "lacks " + each;
        }
    }
    const bool same_body = came.substr(head_end + 4) == form.meaning.body;
    return same_body ? "" : "a body of " + std::to_string(came.size() - head_end - 4) + " bytes";
}

void send_in_parts(raw_client& caller, std::string_view bytes, const random_source& random)
{
    for (auto parts = uniform_index(random, 4); parts > 0 && bytes.size() > 1; --parts) {
        const auto cut = 1 + uniform_index(random, bytes.size() - 1);
        caller.send(bytes.substr(0, cut));
        bytes.remove_prefix(cut);
    }
    caller.send(bytes);
}

// Sends a request as its form says and returns what is wrong with its way; empty if nothing.
std::string wrong_with(recording_gateway& of, raw_client& caller, const request_form& form,
                       const random_source& random)
{
    const std::string_view bytes = form.bytes;
    if (form.expects_continue) {
        send_in_parts(caller, bytes.substr(0, form.body_at), random);
        auto interim = caller.read_until("\r\n\r\n");
        if (interim != go_on) {
            return interim;
        }
        send_in_parts(caller, bytes.substr(form.body_at), random);
    }
    else {
        send_in_parts(caller, bytes, random);
    }
    const auto answer = caller.read_until("\r\n\r\n");
    if (!answer.starts_with("HTTP/1.1 200 ") || field_of(answer, "Signature") != "s") {
        return "answer " + answer;
    }
    if (field_of(answer, "Request-Id") != net::find_field(form.meaning.fields, "Request-Id")) {
        return "another request's answer " + answer;
    }
    return difference(of.last_request(), form);
}

} // namespace

BOOST_AUTO_TEST_SUITE(gateway_allowed_forms)

// Guards against a proper request that a gateway refuses, or sends on as another one, for its form.
BOOST_AUTO_TEST_CASE(each_allowed_form_reaches_its_server_and_is_answered)
{
    recording_gateway of;
    auto random = seeded_random(1);
    const auto names = single_forms(frame_for(0));
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto form = single_forms(frame_for(static_cast<int>(i)))[i];
        raw_client caller(of.gateway.port());
        const auto wrong = wrong_with(of, caller, form, random);
        BOOST_TEST(wrong == "", form.name << ": " << wrong);
    }
}

// Guards against a route chosen by a Host that the target outranks, and against 400 for a form that
// is allowed and merely has no route.
BOOST_AUTO_TEST_CASE(the_host_of_a_target_that_is_a_whole_uri_selects_the_route)
{
    recording_gateway of;
    const auto status_of = [&of](const std::string& bytes) {
        raw_client caller(of.gateway.port());
        caller.send(bytes);
        return caller.read_to_end().substr(9, 3);
    };
    const std::string rest = " HTTP/1.1\r\nRequest-Id: r\r\nConnection: close\r\n";
    BOOST_TEST(status_of("GET http://a.example/plates/1" + rest + "Host: other\r\n\r\n") == "200");
    BOOST_TEST(field_of(of.last_request(), "Host") == "a.example");
    BOOST_TEST(status_of("GET http://other/plates/1" + rest + "Host: a.example\r\n\r\n") == "404");
    BOOST_TEST(status_of("OPTIONS *" + rest + "Host: a.example\r\n\r\n") == "404");
    BOOST_TEST(status_of("OPTIONS http://a.example" + rest + "Host: a.example\r\n\r\n") == "404");
    // Neither of these is a request that is allowed.
    BOOST_TEST(status_of("GET http://a.example/plates/1" + rest + "\r\n") == "400");
    BOOST_TEST(status_of("GET http://a.example/plates/1" + rest +
                         "Host: a.example\r\nHost: a.example\r\n\r\n") == "400");
    BOOST_TEST(status_of("GET *" + rest + "Host: a.example\r\n\r\n") == "400");
    BOOST_TEST(status_of("GET ftp://a.example/plates/1" + rest + "Host: a.example\r\n\r\n") ==
               "400");
}

// Guards against forms that are refused or changed only together, or behind one another on a
// connection. AZURESHORE_SCHEDULES sets how many; AZURESHORE_SEED runs that one alone.
BOOST_AUTO_TEST_CASE(allowed_forms_in_random_combinations_reach_their_server_on_one_connection)
{
    recording_gateway of;
    const auto only = number_from("AZURESHORE_SEED", 0);
    const auto first = only > 0 ? only : 1;
    const auto count = only > 0 ? 1 : number_from("AZURESHORE_SCHEDULES", 40);
    for (auto seed = first; seed < first + count; ++seed) {
        auto random = seeded_random(seed);
        raw_client caller(of.gateway.port());
        for (int i = 0; i < 5; ++i) {
            const auto form = random_form(frame_for(i), random);
            const auto wrong = wrong_with(of, caller, form, random);
            BOOST_TEST(wrong == "",
                       "AZURESHORE_SEED=" << seed << ": " << form.name << ": " << wrong);
            if (!wrong.empty()) {
                break;
            }
        }
    }
}

// Guards against requests that are lost or mixed when they are sent before the answers come.
BOOST_AUTO_TEST_CASE(idempotent_requests_sent_ahead_in_any_form_are_answered_in_order)
{
    recording_gateway of;
    auto random = seeded_random(1);
    raw_client caller(of.gateway.port());
    std::string bytes;
    constexpr int count = 30;
    for (int i = 0; i < count;) {
        const auto form = random_form(frame_for(i), random);
        if (!form.expects_continue && form.meaning.method != "POST" &&
            form.meaning.method != "PATCH") {
            bytes += form.bytes;
            ++i;
        }
    }
    bytes += request_text("GET /plates/last", "r-last", "Connection: close\r\n");
    caller.send(bytes);
    const auto answers = caller.read_to_end();
    std::size_t at = 0;
    for (int i = 0; i < count; ++i) {
        const auto next = answers.find("Request-Id: r-" + std::to_string(i) + "\r\n", at);
        BOOST_REQUIRE(next != std::string::npos);
        at = next;
    }
    BOOST_TEST(answers.find("r-last", at) != std::string::npos);
    BOOST_TEST(answers.find("HTTP/1.1 4") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
