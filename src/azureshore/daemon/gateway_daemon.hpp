#pragma once

#include "azureshore/daemon/gateway_platform.hpp"
#include "azureshore/settings/gateway_settings.hpp"

#include <memory>
#include <string>

namespace azureshore::daemon {

// A daemon whose configuration and backend servers come from the platform's store.
class gateway_daemon {
public:
    // `read` is what `settings_file` came to, without problems; the file is read again at SIGHUP
    // and when it changes. Waits for addresses that the process before still holds; throws
    // std::runtime_error when it doesn't leave them in time.
    gateway_daemon(const settings::gateway_settings_reading& read, std::string settings_file,
                   gateway_platform platform);
    ~gateway_daemon();
    gateway_daemon(const gateway_daemon&) = delete;
    gateway_daemon& operator=(const gateway_daemon&) = delete;
    gateway_daemon(gateway_daemon&&) = delete;
    gateway_daemon& operator=(gateway_daemon&&) = delete;

    // Serves until a planned stop has ended, or not at all if told to stop while it waited for its
    // addresses; returns the process's exit status.
    int run();

private:
    class state;
    std::unique_ptr<state> inner;
};

} // namespace azureshore::daemon
