#pragma once

#include "deployment/faulty_backend.hpp"
#include "deployment/small_deployment.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace azureshore::testing {

constexpr int status_unauthorized = 401;
constexpr int status_unavailable = 503;

inline nlohmann::json account(const std::string& name, const std::string& key)
{
    return {{"name", name}, {"api_keys", {key}}};
}

// What a backend server was sent of a request.
struct seen_request {
    std::string account;
    std::string key;
};

// Gateways whose only backend server is that of keyed_deployment.
inline deployment_plan gateways_alone(std::size_t gateways)
{
    deployment_plan plan;
    plan.gateways = gateways;
    plan.backends = 0;
    return plan;
}

// Gateways as processes, with a backend server that remembers the account and the key of each
// request.
struct keyed_deployment {
    judge watch;
    local_deployment place;
    std::size_t asked = 0;

    keyed_deployment(const deployment_plan& plan, const nlohmann::json& accounts)
        : place(plan, this->watch),
          server([this](test_support::raw_connection& connection, int) { this->serve(connection); })
    {
        this->place.store.put("keyed.servers", "i-1", registration_of(this->server.port()));
        this->place.configure_accounts(accounts.dump());
        BOOST_REQUIRE(this->place.wait_until_all_ready());
    }

    // Sends an order and returns its status; `ran` is what the backend server got, if it ran.
    int ask(const gateway_vm& vm, const std::string& key,
            std::optional<seen_request>* ran = nullptr, const std::string& claimed_account = "")
    {
        const auto id = "r-" + std::to_string(++this->asked);
        auto request = make_request(id, "/orders/" + id, false, deadline);
        if (!key.empty()) {
            request.fields.push_back({"X-Api-Key", key});
        }
        if (!claimed_account.empty()) {
            request.fields.push_back({"X-Tenant", claimed_account});
        }
        const auto answer = caller().ask(vm.callers, request, 2 * deadline);
        if (ran != nullptr) {
            const std::lock_guard hold(this->lock);
            const auto found = this->runs.find(id);
            *ran = found == this->runs.end() ? std::nullopt : std::optional(found->second);
        }
        return answer ? answer->status : 0;
    }

    // The status of each gateway's answer to a key.
    std::vector<int> ask_all(const std::string& key)
    {
        std::vector<int> statuses;
        for (const auto& each : this->place.gateways) {
            statuses.push_back(this->ask(each, key));
        }
        return statuses;
    }

    // Kills a gateway, starts it again and waits for it to be ready, for a limited time.
    void restart(gateway_vm& vm)
    {
        constexpr auto start_bound = std::chrono::seconds(8);
        vm.process.reset();
        this->place.start(vm);
        const auto ready_by = steady_now() + start_bound;
        while (!this->place.ready(vm) && steady_now() < ready_by) {
            std::this_thread::sleep_for(milliseconds(50));
        }
    }

    // Waits for as long as an accepted version may take to be in force.
    static void await_configuration() { std::this_thread::sleep_for(configuration_bound); }

private:
    void serve(test_support::raw_connection& connection)
    {
        while (const auto request = connection.read_request()) {
            if (is_health_check(*request)) {
                connection.send(health_answer("i-1"));
                continue;
            }
            {
                const std::lock_guard hold(this->lock);
                this->runs[test_support::field_of(*request, "X-Request-Id")] = {
                    test_support::field_of(*request, "X-Tenant"),
                    test_support::field_of(*request, "X-Api-Key")};
            }
            connection.send(whole_answer(*request, "done"));
        }
    }

    std::mutex lock;
    std::map<std::string, seen_request> runs;
    test_support::raw_server server;
};

} // namespace azureshore::testing
