#pragma once

#include "azureshore/daemon/exit_status.hpp"
#include "azureshore/settings/daemon_settings.hpp"

#include <memory>

namespace azureshore::daemon {

// One entry VM's process: a node with its sockets, threads and timers.
class entry_daemon {
public:
    // Opens every socket; throws std::system_error when an address can't be taken, before
    // anything is served.
    explicit entry_daemon(const settings::daemon_settings& settings);
    ~entry_daemon();
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;
    entry_daemon(entry_daemon&&) = delete;
    entry_daemon& operator=(entry_daemon&&) = delete;

    // Serves until SIGTERM or SIGINT and then shuts down gracefully; a second signal ends at
    // once. Gives the exit status.
    int run();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::daemon
