#pragma once

#include "azureshore/balance/dispatcher.hpp"
#include "support/virtual_clock.hpp"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace azureshore::test {

// How a fake backend server behaves.
struct server_traits {
    std::size_t slots = 2;
    std::size_t queue = 4;
    duration work = std::chrono::milliseconds(100);
    // The share of its time in which work takes five times as long, in spells of 150 ms.
    double slow_share = 0;
    data_centre_id data_centre{"khan-el-khalili"};
};

// Troubles that a test switches on for one server.
struct server_trouble {
    // Requests get no answer at all.
    bool mute = false;
    // Probes and requests get no connection.
    bool unreachable = false;
    // The process ends when it begins to run a request, and is back after a second.
    bool crashes = false;
    // Every request is answered with a failure at once.
    bool errors = false;
    // Every request is declined as not run.
    bool declines = false;
    // Its answers are lost after the request has run.
    bool loses_answers = false;
    // The health answer says that it is ill.
    bool says_ill = false;
    duration cold{};
};

// How a caller's request ended.
struct outcome {
    request_number request;
    duration took{};
    // The status of the answer delivered, or of the refusal.
    int status = 0;
    bool delivered = false;
    std::optional<balance::refusal> refused;
    // Final answers, of which there is to be one.
    std::size_t answers = 0;
};

// A request as a server saw it come.
struct arrival {
    std::uint64_t key = 0;
    backend_id backend;
    std::size_t daemon = 0;
    time_point at;
    bool ran = false;
};

// Dispatchers of several daemons before fake backend servers, in virtual time.
class dispatch_world {
public:
    dispatch_world(std::size_t daemons, std::uint64_t seed);
    ~dispatch_world();
    dispatch_world(const dispatch_world&) = delete;
    dispatch_world& operator=(const dispatch_world&) = delete;
    dispatch_world(dispatch_world&&) = delete;
    dispatch_world& operator=(dispatch_world&&) = delete;

    balance::dispatcher& dispatcher(std::size_t daemon) { return *this->daemons[daemon]; }
    void configure(const balance::traffic_configuration& next);
    void add_server(const std::string& name, const std::string& service,
                    const server_traits& traits);
    server_trouble& trouble(const std::string& name);
    balance::registration registration_of(const std::string& name) const;

    // A caller's request; its key names it in the arrivals.
    std::uint64_t request(std::size_t daemon, const std::string& path,
                          std::optional<duration> patience = std::nullopt,
                          std::uint64_t fingerprint = 0);
    void caller_leaves(std::size_t daemon, std::uint64_t key);

    // Requests at random moments, evenly over the daemons.
    void load(const std::string& path, double a_second, duration span, duration patience);

    virtual_clock clock;
    random_source random;
    std::map<std::uint64_t, outcome> outcomes;
    std::vector<arrival> arrivals;
    std::size_t cancelled = 0;

private:
    struct server;
    struct run;

    balance::dispatcher_hooks hooks_of(std::size_t daemon);
    void probe(std::size_t daemon, const balance::probe_order& order);
    void send(std::size_t daemon, const balance::attempt_order& order);
    void arrive(std::size_t daemon, const balance::attempt_order& order);
    void begin_next(server& at);
    void finish(server& at, const std::shared_ptr<run>& done);
    void crash(server& at);
    void end(std::size_t daemon, attempt_number attempt, const balance::attempt_result& result);

    std::vector<std::unique_ptr<balance::dispatcher>> daemons;
    std::map<std::string, std::unique_ptr<server>> servers;
    std::uint64_t last_request = 0;
    std::map<std::uint64_t, time_point> began;
};

// A route and a service of one name; the path prefix is /NAME/.
balance::traffic_configuration one_service(const std::string& name, bool idempotent,
                                           duration target, duration timeout);

} // namespace azureshore::test
