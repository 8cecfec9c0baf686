#pragma once

#include "azureshore/daemon/internal/io_thread.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/log.hpp"
#include "azureshore/platform/vm_list.hpp"
#include "azureshore/settings/daemon_settings.hpp"

#include <functional>
#include <vector>

namespace azureshore::daemon::detail {

// Talks to the platform's log and list of VMs on one thread.
class platform_link {
public:
    // `thread` must outlive the link.
    platform_link(io_thread& thread, const settings::daemon_settings& settings);

    // The log; its hooks may be called from any thread.
    platform::log_hooks log();

    // Reads the list again and again, and gives each that was read.
    void follow_list(std::function<void(const std::vector<platform::vm_entry>&)> listed);

private:
    void fetch_list();

    io_thread& thread;
    net::http_client http;
    platform::log_hooks direct;
    address vm_list;
    duration timeout;
    duration interval;
    std::function<void(const std::vector<platform::vm_entry>&)> listed;
};

} // namespace azureshore::daemon::detail
