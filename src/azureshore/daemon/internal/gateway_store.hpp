#pragma once

#include "azureshore/balance/backend_registry.hpp"
#include "azureshore/daemon/gateway_platform.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/platform/topic_follower.hpp"
#include "azureshore/settings/gateway_settings.hpp"

#include <asio/steady_timer.hpp>

#include <memory>
#include <set>

namespace azureshore::daemon::detail {

struct gateway_store_hooks {
    std::function<void(std::shared_ptr<const balance::traffic_configuration>)> configured;
    std::function<void(const std::set<data_centre_id>&)> out_of_service;
    std::function<void(const balance::registration&)> backend_changed;
    std::function<void(const backend_id&)> backend_removed;
    std::function<void(const observe::decision&)> log;
};

// What a daemon knows from the platform's store: the configuration in force, the data centres out
// of service, and the backend servers.
class gateway_store {
public:
    gateway_store(asio::io_context& executor, const settings::gateway_settings& settings,
                  gateway_platform& platform, gateway_store_hooks hooks);

    void start();

    // Whether both the configuration and the backend servers have been read.
    [[nodiscard]] bool known() const;

private:
    void after(duration delay, std::function<void()> work);
    platform::follower_hooks operators_hooks();
    platform::follower_hooks registrations_hooks();
    void take_operator_record(const platform::keyed_record& record);
    void take_all_operator_records(const std::vector<platform::keyed_record>& records);
    void take_registration(const platform::keyed_record& record);
    void take_all_registrations(const std::vector<platform::keyed_record>& records);
    void set_in_service(const data_centre_service& change);
    void log_unreadable(const platform::keyed_record& record, const absl::Status& why);
    void tick();

    asio::io_context& executor;
    gateway_platform& platform;
    gateway_store_hooks hooks;
    net::http_client http;
    balance::backend_registry registry;
    asio::steady_timer timer;
    std::set<data_centre_id> out_of_service;
    bool configured = false;
    std::unique_ptr<platform::topic_follower> operators;
    std::unique_ptr<platform::topic_follower> registrations;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace azureshore::daemon::detail
