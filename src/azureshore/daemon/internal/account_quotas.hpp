#pragma once

#include "azureshore/observe/decision.hpp"
#include "azureshore/quota/quota.hpp"
#include "azureshore/settings/gateway_settings.hpp"
#include "azureshore/sharing/members.hpp"

#include <asio/io_context.hpp>

#include <string>

namespace azureshore::daemon::detail {

struct account_quota_hooks {
    // Sends a message to another daemon.
    std::function<void(const vm_id&, const wire::message&)> send;
    std::function<void(const observe::decision&)> log;
};

// This daemon's part in the quotas of client accounts: the keeper, with its timers, its log lines
// and its metrics.
class account_quotas {
public:
    account_quotas(asio::io_context& executor, const settings::gateway_settings& settings,
                   account_quota_hooks hooks);

    void set_bounds(const settings::gateway_settings& settings);
    void configure(const balance::traffic_configuration& configuration);

    // Takes a change of the daemons. `known` must stay valid until the next call.
    void members_changed(const sharing::members& known);

    [[nodiscard]] quota::quota_keeper& keeper() { return this->kept; }

    // The counters in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;

private:
    quota::quota_hooks quota_hooks();
    void log_owned();

    asio::io_context& executor;
    account_quota_hooks hooks;
    quota::quota_keeper kept;
    std::size_t logged_owned = 0;
};

} // namespace azureshore::daemon::detail
