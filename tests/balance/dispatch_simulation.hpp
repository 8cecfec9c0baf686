#pragma once

#include "azureshore/balance/dispatcher.hpp"
#include "support/virtual_clock.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test {

// The normal behaviour of a simulated backend server.
struct server_traits {
    std::size_t slots = 2;
    std::size_t queue = 4;
    duration work = std::chrono::milliseconds(100);
    // The share of time in which work takes five times as long, in periods of 150 ms.
    double slow_share = 0;
    data_centre_id data_centre{"khan-el-khalili"};
    // How much longer a request takes that starts when more than four fifths of the slots are busy,
    // its own included.
    double crowded_factor = 1;
    // Whether requests beyond the queue are declined as not run, instead of never answered.
    bool declines_when_full = false;
};

// Faults that a test injects into one server.
struct server_faults {
    // Requests are not answered.
    bool unresponsive = false;
    // Connections for probes and requests fail.
    bool unreachable = false;
    // The process ends when it starts to run a request and restarts after one second.
    bool crashes = false;
    // Every request is answered with status 500 at once.
    bool errors = false;
    // Every request is declined as not run.
    bool declines = false;
    // Answers are lost after the request has run.
    bool loses_answers = false;
    // Health probes are answered as unhealthy.
    bool reports_unhealthy = false;
    duration cold{};
};

// The outcome of a caller's request.
struct outcome {
    request_number request;
    duration took{};
    // The status of the answer delivered, or of the refusal.
    int status = 0;
    bool delivered = false;
    std::optional<balance::refusal> refused;
    // Number of final answers, which must be one.
    std::size_t answers = 0;
};

// The arrival of a request at a server.
struct arrival {
    std::uint64_t key = 0;
    backend_id backend;
    std::size_t daemon = 0;
    time_point at;
    bool ran = false;
};

// Simulates the dispatchers of several daemons and their backend servers in virtual time.
class dispatch_simulation {
public:
    dispatch_simulation(std::size_t daemons, std::uint64_t seed);
    ~dispatch_simulation();
    dispatch_simulation(const dispatch_simulation&) = delete;
    dispatch_simulation& operator=(const dispatch_simulation&) = delete;
    dispatch_simulation(dispatch_simulation&&) = delete;
    dispatch_simulation& operator=(dispatch_simulation&&) = delete;

    balance::dispatcher& dispatcher(std::size_t daemon) { return *this->daemons[daemon]; }
    void configure(const balance::traffic_configuration& next);
    void add_server(const std::string& name, const std::string& service,
                    const server_traits& traits);
    server_faults& faults(const std::string& name);
    balance::registration registration_of(const std::string& name) const;

    // Starts a request and returns the key that identifies it in the outcomes and arrivals.
    std::uint64_t request(std::size_t daemon, const std::string& path,
                          std::optional<duration> caller_timeout = std::nullopt,
                          std::uint64_t fingerprint = 0);
    // Sets the work of the requests whose path starts with a prefix, instead of the servers' work.
    void set_work(const std::string& path_prefix, duration work)
    {
        this->works[path_prefix] = work;
    }
    void disconnect_caller(std::size_t daemon, std::uint64_t key);

    // Schedules requests at random times, spread evenly over the daemons.
    void generate_load(const std::string& path, double per_second, duration span,
                       duration caller_timeout);

    virtual_clock clock;
    // How far the time advances between two readings of the clock by a dispatcher, as it does on a
    // real machine while code runs.
    duration time_between_readings{};
    random_source random;
    std::map<std::uint64_t, outcome> outcomes;
    std::vector<arrival> arrivals;
    std::size_t cancelled = 0;
    // Requests that servers started to run.
    std::size_t runs = 0;
    // Called with each final answer. May be empty.
    std::function<void(const outcome&)> answered;

private:
    struct server;
    struct execution;

    balance::dispatcher_hooks hooks_of(std::size_t daemon);
    time_point read_clock();
    void probe(std::size_t daemon, const balance::probe_order& order);
    void send(std::size_t daemon, const balance::attempt_order& order);
    void arrive(std::size_t daemon, const balance::attempt_order& order);
    void start_next(server& target);
    void finish(server& target, const std::shared_ptr<execution>& finished);
    void crash(server& target);
    void end_attempt(std::size_t daemon, attempt_number attempt,
                     const balance::attempt_result& result);

    std::vector<std::unique_ptr<balance::dispatcher>> daemons;
    std::map<std::string, std::unique_ptr<server>> servers;
    std::map<std::string, duration> works;
    std::map<std::uint64_t, duration> work_of;
    std::uint64_t last_request = 0;
    std::map<std::uint64_t, time_point> started_at;
    time_point last_reading{};
};

// Returns a configuration with one route and one service of the same name. The path prefix is
// /NAME/.
balance::traffic_configuration one_service(const std::string& name, bool idempotent,
                                           duration target, duration timeout);

} // namespace azureshore::test
