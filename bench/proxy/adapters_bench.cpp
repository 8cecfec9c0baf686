// Measures what the HTTP adapters add to a call, and what a fresh connection costs, in one run on
// loopback: a backend server, the adapters without any decision between them, and a load driver.
#include "azureshore/net/http_server.hpp"
#include "azureshore/proxy/backend_client.hpp"
#include "azureshore/proxy/front.hpp"
#include "load_run.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <sys/resource.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace azureshore;

constexpr std::size_t max_answer_body = 1024UL * 1024UL;
constexpr duration deadline = std::chrono::seconds(5);
constexpr double paced_rate = 400;
constexpr int rounds = 5;

address loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

net::http_server make_backend()
{
    net::http_server_settings settings;
    settings.where = loopback(0);
    net::http_server_hooks hooks;
    hooks.call = [](const net::http_call& call, const net::responder& respond) {
        net::http_answer answer;
        answer.headers = {{"Azureshore-Attempt", std::string(call.header("Azureshore-Attempt"))}};
        answer.body = call.target + call.body;
        respond(std::move(answer));
    };
    return {settings, std::move(hooks)};
}

// The front and the backend client with nothing between them: each request is one attempt.
class adapters {
public:
    explicit adapters(address to)
        : backend(std::move(to)),
          client(this->executor, {"bench"}, {[this](const outcomes::attempt_report& report) {
                     this->finish(report);
                 }}),
          served(settings(),
                 {[this](outcomes::incoming_request request) { this->begin(std::move(request)); },
                  {},
                  {}}),
          worker([this] { this->executor.run(); })
    {
    }

    ~adapters()
    {
        this->executor.stop();
        this->worker.join();
    }

    adapters(const adapters&) = delete;
    adapters& operator=(const adapters&) = delete;
    adapters(adapters&&) = delete;
    adapters& operator=(adapters&&) = delete;

    [[nodiscard]] std::uint16_t port() const { return this->served.port(); }

private:
    static proxy::front_settings settings()
    {
        proxy::front_settings to;
        to.server.where = loopback(0);
        return to;
    }

    void begin(outcomes::incoming_request request)
    {
        asio::post(this->executor, [this, request = std::move(request)] {
            outcomes::attempt_request order;
            order.attempt = {request.number.value};
            order.endpoint = this->backend;
            order.content = request.content;
            order.idempotent = request.idempotent;
            order.time_left = deadline;
            order.max_answer_body = max_answer_body;
            this->client.start(order);
        });
    }

    void finish(const outcomes::attempt_report& report)
    {
        outcomes::caller_response word;
        word.answer = report.answer;
        this->served.answer({report.attempt.value}, word);
    }

    address backend;
    asio::io_context executor{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{this->executor.get_executor()};
    proxy::backend_client client;
    proxy::front served;
    std::thread worker;
};

double processor_seconds()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) * 1e-6;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct measure {
    std::string name;
    load::load_plan plan;
    load::load_report all;
    double processor = 0;
};

void run_round(measure& each)
{
    const double before = processor_seconds();
    auto report = load::run_load(each.plan);
    each.processor += processor_seconds() - before;
    each.all.sent += report.sent;
    each.all.skipped += report.skipped;
    each.all.wrong_answers += report.wrong_answers;
    each.all.length += report.length;
    each.all.latencies.insert(each.all.latencies.end(), report.latencies.begin(),
                              report.latencies.end());
}

measure make(std::string name, std::uint16_t port, double rate, double orders, bool keep,
             duration length)
{
    load::load_plan plan;
    plan.target = loopback(port);
    plan.rate = rate;
    plan.orders = orders;
    plan.keep_connections = keep;
    plan.length = length;
    return {std::move(name), plan, {}, 0};
}

} // namespace

int main(int argc, char** argv)
{
    const int seconds = argc > 1 ? std::atoi(argv[1]) : 1;
    const duration length = std::chrono::seconds(seconds);
    const auto backend = make_backend();
    const adapters between(loopback(backend.port()));
    std::vector<measure> measures;
    for (const double rate : {paced_rate, 0.0}) {
        const std::string pace = rate > 0 ? "paced" : "closed";
        const auto direct = backend.port();
        const auto through = between.port();
        measures.push_back(make(pace + " direct GET", direct, rate, 0, true, length));
        measures.push_back(make(pace + " direct GET fresh", direct, rate, 0, false, length));
        measures.push_back(make(pace + " adapters GET", through, rate, 0, true, length));
        measures.push_back(make(pace + " direct POST", direct, rate, 1, false, length));
        measures.push_back(make(pace + " adapters POST", through, rate, 1, false, length));
    }
    // Rounds take turns, so that what else the machine does falls on all alike.
    for (int round = 0; round < rounds; ++round) {
        for (auto& each : measures) {
            run_round(each);
        }
    }
    for (const auto& each : measures) {
        const double micros =
            each.processor * 1e6 / static_cast<double>(std::max<std::uint64_t>(1, each.all.sent));
        std::cout << each.name << ": processor_us_per_call=" << micros << ' ' << to_json(each.all)
                  << '\n';
    }
    return 0;
}
