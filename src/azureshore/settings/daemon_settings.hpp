#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/settings/schema.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace azureshore::settings {

// Everything that one daemon learns from its settings file.
struct daemon_settings {
    vm_id name;
    data_centre_id data_centre;

    // Where callers, other entry VMs and operators reach this VM.
    address callers;
    address peers;
    address admin;

    address log;
    address vm_list;
    duration vm_list_interval = std::chrono::seconds(1);
    duration platform_timeout = std::chrono::seconds(2);

    std::size_t caller_threads = 2;
    std::size_t backend_threads = 2;
    std::size_t max_body = 1024UL * 1024UL;
    duration read_timeout = std::chrono::seconds(5);

    // Keys of the inner protocol in hexadecimal digits; the first seals, all open.
    std::vector<std::string> peer_keys;

    // Serving goes on this long after not ready is shown, for the platform's balancer's lag.
    duration drain = std::chrono::seconds(2);
    // A planned stop ends within this time.
    duration stop_within = std::chrono::seconds(30);

    // Share of decisions that are logged, in percent.
    std::size_t decision_percent = 100;
};

// The rules of a daemon's settings file; their values go to `target`, which must outlive them.
std::vector<rule> daemon_rules(daemon_settings& target);

// The settings of a text, or every fault in it. `file` is used in messages alone.
std::variant<daemon_settings, std::vector<problem>> parse_daemon_settings(std::string_view file,
                                                                          std::string_view text);

// Reads a file; one that can't be read is a fault of its own.
std::variant<daemon_settings, std::vector<problem>> load_daemon_settings(const std::string& file);

} // namespace azureshore::settings
