#pragma once

#include "azureshore/balance/dispatcher.hpp"
#include "azureshore/daemon/gateway_platform.hpp"
#include "azureshore/rollout/rollout.hpp"
#include "azureshore/settings/gateway_settings.hpp"
#include "azureshore/sharing/store_sharing.hpp"

#include <set>

namespace azureshore::daemon::detail {

struct gateway_rollouts_hooks {
    std::function<void(const service_id&, const balance::version_rule&)> version_rule_set;
    std::function<void(const service_id&)> version_rule_removed;
    std::function<rollout::service_counts(const service_id&, const std::string& new_version)>
        count_versions;
    std::function<void(const observe::decision&)> log;
};

// Connects the decisions on roll-outs with the store, the other daemons and the dispatcher. All
// references must outlive it.
class gateway_rollouts {
public:
    gateway_rollouts(const settings::gateway_settings& settings, const gateway_platform& platform,
                     const platform_topics& topics, sharing::store_sharing& sharing,
                     gateway_rollouts_hooks hooks);

    void set_settings(const settings::gateway_settings& settings);
    // Sets how long a request may run at a backend server by the configuration.
    void set_longest_request(duration longest);

    void take_order(const rollout_order_record& order, bool may_be_old);
    // Withdraws all orders but these.
    void keep_orders(const std::set<service_id>& services);
    void observe(const balance::attempt_observation& observed);
    void take_report(const wire::rollout_report& report);
    void take_notice(const wire::rollout_notice& notice);
    void tick();
    void write_metrics(observe::metrics& into) const;

private:
    rollout::controller_hooks controller_hooks();
    void direct(const rollout::order& order, rollout::traffic use);
    void list_states(std::function<void(const rollout::status_list&)> done) const;

    const gateway_platform& platform;
    const platform_topics& topics;
    sharing::store_sharing& sharing;
    gateway_rollouts_hooks hooks;
    double exposure_share = 0;
    rollout::settings bounds;
    rollout::controller controller;
};

} // namespace azureshore::daemon::detail
