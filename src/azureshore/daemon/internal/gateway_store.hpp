#pragma once

#include "azureshore/balance/backend_registry.hpp"
#include "azureshore/daemon/gateway_platform.hpp"
#include "azureshore/daemon/internal/gateway_rollouts.hpp"
#include "azureshore/daemon/internal/peer_socket.hpp"
#include "azureshore/observe/decision.hpp"
#include "azureshore/settings/gateway_settings.hpp"
#include "azureshore/sharing/store_sharing.hpp"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace azureshore::daemon::detail {

struct gateway_store_hooks {
    std::function<void(std::shared_ptr<const balance::traffic_configuration>)> configured;
    std::function<void(const std::set<data_centre_id>&)> out_of_service;
    std::function<void(const balance::registration&)> backend_changed;
    std::function<void(const backend_id&)> backend_removed;
    std::function<void()> backends_listed;
    std::function<void(const sharing::members&)> members_changed;
    std::function<void(std::uint64_t fingerprint)> suspected;
    std::function<double()> request_rate;
    // Called with each message of another daemon.
    std::function<void(const wire::envelope&)> received;
    std::function<void(const observe::decision&)> log;
    gateway_rollouts_hooks rollouts;
};

// What a daemon knows from the platform's store and from the other daemons: the configuration in
// force, the data centres out of service, the backend servers, and the daemons themselves.
class gateway_store {
public:
    gateway_store(asio::io_context& executor, const settings::gateway_settings& settings,
                  const gateway_platform& platform, gateway_store_hooks hooks);

    void start();

    // This daemon stops soon.
    void leave();

    void tell_suspicion(std::uint64_t fingerprint);

    // Sends a message to another daemon, unless it is not known. The message may be lost.
    void send(const vm_id& to, const wire::message& body);
    // Puts other bounds in force.
    void set_bounds(const settings::gateway_settings& settings);

    // Takes how an attempt of this daemon ended.
    void observe(const balance::attempt_observation& observed);

    // Requests a second that all daemons get together; zero if unknown.
    [[nodiscard]] double total_request_rate() const;

    // This daemon's view of the store, in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;

    // Whether the configuration is known to be the latest.
    [[nodiscard]] bool is_latest_configuration() const;

    // Whether both the configuration and the backend servers have been read.
    [[nodiscard]] bool known() const;

private:
    balance::registry_hooks registry_hooks();
    sharing::sharing_hooks sharing_hooks();
    sharing::shared_topics shared_topics() const;
    void received(std::string_view bytes);
    std::set<std::string> listed(wire::shared_topic topic,
                                 const std::vector<platform::keyed_record>& records,
                                 const std::vector<wire::earlier_record>& earlier);
    std::set<std::string> restored(wire::shared_topic topic,
                                   const std::vector<platform::keyed_record>& records);
    sharing::record_effect changed(wire::shared_topic topic, const platform::keyed_record& record);
    // Whether a configuration is older than the latest one.
    [[nodiscard]] bool is_outdated(const absl::StatusOr<operator_record>& read) const;
    bool take_earlier_operator_record(const wire::earlier_record& earlier);
    bool take_earlier_registration(const wire::earlier_record& earlier);
    bool take_earlier_removal(const wire::shared_record& removal);
    void keep_unconfirmed(const data_centre_id& name, duration valid_for);
    void take_operator_record(const platform::keyed_record& record,
                              absl::StatusOr<operator_record> read);
    std::set<std::string>
    take_all_operator_records(const std::vector<platform::keyed_record>& records,
                              const std::vector<wire::earlier_record>& earlier);
    std::set<std::string>
    merge_operator_records(const std::vector<platform::keyed_record>& records);
    sharing::record_effect take_registration(const platform::keyed_record& record);
    void take_all_registrations(const std::vector<platform::keyed_record>& records,
                                const std::vector<wire::earlier_record>& earlier);
    std::set<std::string> merge_registrations(const std::vector<platform::keyed_record>& records);
    std::vector<balance::registration>
    read_registrations(const std::vector<platform::keyed_record>& records);
    // Runs a change of the registry that applies a whole list, and logs its result as one event.
    void take_list(const std::function<void()>& change);
    void end_unconfirmed(time_point now);
    void set_in_service(const data_centre_service& change);
    void log_unreadable(const platform::keyed_record& record, const absl::Status& why);
    void members_changed();
    void tick();

    asio::io_context& executor;
    const gateway_platform& platform;
    gateway_store_hooks hooks;
    vm_id self;
    net::http_client http;
    platform_topics topics;
    balance::backend_registry registry;
    asio::steady_timer timer;
    std::set<data_centre_id> out_of_service;
    // Data centres that stay out of service although a restored store lacks their record, and until
    // when.
    std::map<data_centre_id, time_point> unconfirmed;
    // The latest version of the configuration.
    std::optional<std::uint64_t> version;
    // While a whole list is taken, its entries are logged as one.
    bool listing = false;
    peer_socket socket;
    sharing::store_sharing sharing;
    gateway_rollouts rollouts;
};

} // namespace azureshore::daemon::detail
