#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/ids.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/settings/schema.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::settings {

// What a daemon learns from its settings file when its configuration and its backend servers come
// from the platform's store.
struct gateway_settings {
    vm_id name;
    data_centre_id data_centre;

    // Where callers come, where the platform's balancer asks for readiness, where other daemons'
    // messages come in, and where metrics are served.
    address callers;
    address ready;
    address peers;
    std::optional<address> metrics;

    // Hosts of daemons that may be asked at the start; their ports are not used.
    std::vector<address> seeds;
    // Whether the whole deployment starts for the first time.
    bool first_start = false;

    address store;
    duration store_timeout = std::chrono::milliseconds(600);

    // A configuration or a leaving backend server has effect within this time.
    duration apply_within = std::chrono::seconds(2);
    // A planned stop ends within this time.
    duration stop_within = std::chrono::seconds(6);

    double retry_ratio = 0.2;
    double retry_slack = 50;
    duration retry_window = std::chrono::seconds(10);

    // Health checks a second that one backend server gets from all daemons, on average.
    double probes_per_second = 60;

    // In any window of this length, all daemons together pass on at most (rate x window + burst) x
    // (1 + overshoot) + slack requests of a client account.
    duration quota_window = std::chrono::seconds(5);
    double quota_overshoot = 0.1;
    double quota_slack = 20;
    // Largest share of a service's requests that a version gets in a roll-out that is not decided,
    // the requests of all daemons beyond it, and the time in which a bad version is rolled back.
    double exposure_share = 0.1;
    double exposure_slack = 50;
    duration rollback_within = std::chrono::seconds(5);

    std::size_t log_lines_per_second = 100;

    // Memory of the machine in units of 1,000,000 bytes; zero for what the system says.
    std::size_t memory_mb = 0;
};

// What a gateway's settings file came to. The settings hold only if there are no problems.
struct gateway_settings_reading {
    gateway_settings settings;
    std::vector<problem> problems;
    std::vector<substitution> substitutions;
};

// The rules of such a file; their values go to `target`, or come from `in_force` where the file's
// can't be used. Both must outlive the rules.
std::vector<rule> gateway_rules(gateway_settings& target, const gateway_settings& in_force);

// Reads a text; `file` is used in messages alone. A value that a gateway can do without is never a
// problem. At a start the default or the nearest usable value stands in for it; at a reload, where
// `in_force` is given, no value is a problem, and one that can't be used leaves that in force as it
// is. A missing key that a gateway can't do without is a problem at both.
gateway_settings_reading parse_gateway_settings(std::string_view file, std::string_view text,
                                                const gateway_settings* in_force = nullptr);

// Reads a file likewise; one that can't be read is a problem.
gateway_settings_reading load_gateway_settings(const std::string& file,
                                               const gateway_settings* in_force = nullptr);

} // namespace azureshore::settings
