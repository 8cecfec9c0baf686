#pragma once

#include "azureshore/proxy/backend_client.hpp"
#include "support/raw_server.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace azureshore::proxy {

// Sends attempts one after the other through one backend client.
class attempt_runner {
public:
    explicit attempt_runner(std::uint16_t port) : where{"127.0.0.1", port} {}

    // An order for an attempt; a GET is idempotent and a POST is not.
    outcomes::attempt_request order(const std::string& method, const std::string& body = {})
    {
        auto content = std::make_shared<outcomes::request_content>();
        content->method = method;
        content->target = "/catalogue/plates";
        content->body = body;
        outcomes::attempt_request made;
        made.attempt = {++this->last};
        made.endpoint = this->where;
        made.content = std::move(content);
        made.idempotent = method == "GET";
        made.time_left = this->time_left;
        made.max_answer_body = max_answer_body;
        return made;
    }

    outcomes::attempt_report run(const outcomes::attempt_request& made)
    {
        this->client.start(made);
        return this->wait(made.attempt);
    }

    outcomes::attempt_report run(const std::string& method, const std::string& body = {})
    {
        return this->run(this->order(method, body));
    }

    outcomes::attempt_report wait(attempt_number attempt)
    {
        this->run_until([&] { return this->reports.contains(attempt); });
        return this->reports.at(attempt);
    }

    // Runs the executor until the condition holds, whoever makes it hold.
    template <class Condition>
    void run_until(const Condition& holds)
    {
        while (!holds()) {
            this->executor.restart();
            this->executor.run_one_for(std::chrono::milliseconds(1));
        }
    }

    static constexpr std::size_t max_answer_body = 1000;

    duration time_left = std::chrono::seconds(5);
    asio::io_context executor;
    std::map<attempt_number, outcomes::attempt_report> reports;
    address where;
    std::uint64_t last = 0;
    backend_client client{this->executor, {"vm1"}, {[this](const outcomes::attempt_report& report) {
                              this->reports.emplace(report.attempt, report);
                          }}};
};

// Counts how often each attempt was read by a server.
class run_counts {
public:
    // The attempt's name.
    std::string add(const std::string& request)
    {
        auto name = test_support::field_of(request, "Azureshore-Attempt");
        const std::scoped_lock lock(this->mutex);
        ++this->counts[name];
        return name;
    }

    int of(attempt_number attempt)
    {
        const std::scoped_lock lock(this->mutex);
        return this->counts["vm1-" + std::to_string(attempt.value)];
    }

    int most()
    {
        const std::scoped_lock lock(this->mutex);
        int found = 0;
        for (const auto& [name, count] : this->counts) {
            found = std::max(found, count);
        }
        return found;
    }

private:
    std::mutex mutex;
    std::map<std::string, int> counts;
};

// A whole answer whose body is the attempt's name; without echo when `echo` is empty.
inline std::string answer_to(const std::string& name, const std::string& echo)
{
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(name.size()) + "\r\n";
    if (!echo.empty()) {
        text += "Azureshore-Attempt: " + echo + "\r\n";
    }
    return text + "\r\n" + name;
}

} // namespace azureshore::proxy
