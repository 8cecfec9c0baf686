#pragma once

#include "azureshore/core/time.hpp"
#include "azureshore/net/http_server.hpp"

#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace azureshore::standin {

// The platform's list of VMs, as a stand-in in memory. Shows the list as it was `lag` ago.
class vm_list_service {
public:
    // Handles one HTTP call.
    void handle(const net::http_call& call, const net::responder& respond);

private:
    struct version {
        time_point when;
        // Each VM's entry as JSON text, by name.
        std::map<std::string, std::string> entries;
    };

    void change(const net::http_call& call, const std::string& name, const net::responder& respond);
    void set_faults(const net::http_call& call, const net::responder& respond);
    std::string shown(time_point now);

    std::mutex lock;
    std::deque<version> versions{version{}};
    duration lag{};
    bool outage = false;
};

// Runs the stand-in until SIGTERM or SIGINT; returns the exit status.
int run_vm_list_service(const std::vector<std::string>& arguments);

} // namespace azureshore::standin
