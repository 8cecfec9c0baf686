#pragma once

#include "azureshore/observe/decision.hpp"
#include "azureshore/quota/contact_tracker.hpp"
#include "azureshore/quota/quota.hpp"
#include "azureshore/settings/gateway_settings.hpp"
#include "azureshore/sharing/members.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

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

    // Takes a change of the daemons. `known` must stay valid from then on.
    void members_changed(const sharing::members& known);

    void take(const account_id& account, std::function<void(const balance::quota_answer&)> done);

    // Returns what was granted at a time for a request that was not sent.
    void give_back(const account_id& account, time_point granted_at);

    // Takes any message of another daemon.
    void receive(const wire::envelope& message);

    // The counters in Prometheus' text format.
    [[nodiscard]] std::string metrics() const;

private:
    quota::quota_hooks quota_hooks();
    void log_owned();
    // Pings other daemons if this one owns quotas, and tells the keeper the share that is in
    // contact.
    void watch_contact();
    [[nodiscard]] std::vector<vm_id> owners_of(const account_id& account) const;

    asio::io_context& executor;
    account_quota_hooks hooks;
    // Whether there are daemons besides this one, according to the settings.
    bool has_other_seeds = false;
    const sharing::members* known = nullptr;
    // Whether this daemon knows who owns a quota: it has known another daemon, or that there is
    // none.
    bool owners_known = false;
    random_source random = system_random();
    // Grows when this daemon has contradicted that it is gone.
    std::uint64_t incarnation = 0;
    quota::contact_tracker contact;
    double contact_share = 1;
    quota::quota_keeper kept;
    std::size_t logged_owned = 0;
    asio::steady_timer contact_timer;
};

} // namespace azureshore::daemon::detail
