#include "gateway/running_gateway.hpp"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <future>
#include <thread>
#include <utility>

namespace azureshore::test {

namespace {

// The kernel chooses.
constexpr std::uint16_t any_port = 0;

gateway::dialect plain_words()
{
    gateway::dialect words;
    words.request_id = "Request-Id";
    words.deadline_ms = "Deadline-Ms";
    words.signature = "Signature";
    words.expected_instance = "Expected";
    words.instance = "Instance";
    words.not_run = "Not-Run";
    words.load = "Load";
    words.cold_ms = "Cold-Ms";
    words.account_key = "Account-Key";
    words.account = "Account";
    words.read_load = [](std::string_view) {
        return balance::load_report{0, 0, 4, 1};
    };
    return words;
}

balance::route route_of(const std::string& name, bool idempotent)
{
    balance::route made;
    made.name = name;
    made.host = "a.example";
    made.path_prefix = '/' + name + '/';
    made.idempotent = idempotent;
    made.services = {{{"plates"}, 1}};
    made.timeout = std::chrono::seconds(5);
    made.target_latency = std::chrono::seconds(2);
    made.max_attempts = 2;
    return made;
}

} // namespace

std::unique_ptr<test_support::raw_server> make_backend(const std::string& name,
                                                       answer_function answer)
{
    return std::make_unique<test_support::raw_server>(
        [name, answer = std::move(answer)](test_support::raw_connection& connection, int) {
            while (const auto request = connection.read_request()) {
                if (request->starts_with("GET /health ")) {
                    connection.send("HTTP/1.1 200 OK\r\nInstance: " + name +
                                    "\r\nContent-Length: 0\r\n\r\n");
                    continue;
                }
                if (!answer(connection, *request)) {
                    return;
                }
            }
        });
}

std::string answer_to(const std::string& request, const std::string& body,
                      const std::string& more_fields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + test_support::field_of(request, "Request-Id") +
           "\r\nSignature: s\r\n" + more_fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

class running_gateway::state {
public:
    state()
        : work(asio::make_work_guard(this->executor)),
          gateway(
              this->executor,
              {{"vm-1"}, {"here"}, {"127.0.0.1", any_port}, balance::shared_bounds{}},
              plain_words(),
              [this](const observe::decision& made) { this->log += observe::to_line(made) + '\n'; },
              nullptr),
          thread([this] { this->executor.run(); })
    {
    }

    ~state()
    {
        this->executor.stop();
        this->thread.join();
    }

    state(const state&) = delete;
    state& operator=(const state&) = delete;
    state(state&&) = delete;
    state& operator=(state&&) = delete;

    std::string log;
    std::uint64_t version = 0;
    std::uint64_t backends = 0;
    asio::io_context executor;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    gateway::http_gateway gateway;
    std::thread thread;
};

running_gateway::running_gateway() : running_gateway(std::nullopt)
{
    this->configure(balance::caller_limits{});
}

running_gateway::running_gateway(std::nullopt_t) : inner(std::make_unique<state>()) {}

running_gateway::~running_gateway() = default;

void running_gateway::configure(const balance::caller_limits& limits)
{
    this->configure(limits, std::nullopt);
}

void running_gateway::configure(std::vector<balance::client_account> accounts)
{
    this->configure(balance::caller_limits{}, std::move(accounts));
}

void running_gateway::configure(const balance::caller_limits& limits,
                                std::optional<std::vector<balance::client_account>> accounts)
{
    auto made = std::make_shared<balance::traffic_configuration>();
    made->version = ++this->inner->version;
    made->routes = {route_of("plates", true), route_of("orders", false)};
    balance::service_traits traits;
    traits.name = {"plates"};
    traits.health_path = "/health";
    made->services = {traits};
    made->limits = limits;
    made->accounts = std::move(accounts);
    this->run([made](gateway::http_gateway& of) {
        of.configure(made);
        of.decisions().backends_listed();
    });
}

void running_gateway::add_backend(const std::string& name, const test_support::raw_server& at)
{
    balance::registration made;
    made.id = {name};
    made.service = {"plates"};
    made.data_centre = {"here"};
    made.endpoint = {"127.0.0.1", at.port()};
    made.slots = 4;
    this->run([made](gateway::http_gateway& of) { of.decisions().backend_changed(made); });
}

void running_gateway::run(const std::function<void(gateway::http_gateway&)>& work)
{
    std::promise<void> done;
    asio::post(this->inner->executor, [&] {
        work(this->inner->gateway);
        done.set_value();
    });
    done.get_future().wait();
}

std::string running_gateway::log()
{
    std::string lines;
    this->run([this, &lines](const gateway::http_gateway&) { lines = this->inner->log; });
    return lines;
}

std::uint16_t running_gateway::port() const
{
    return this->inner->gateway.port();
}

std::string request_text(const std::string& line, const std::string& id,
                         const std::string& more_fields, const std::string& body)
{
    return line + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: 4000\r\n" + more_fields +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

} // namespace azureshore::test
