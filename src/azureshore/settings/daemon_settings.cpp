#include "azureshore/settings/daemon_settings.hpp"

#include "azureshore/settings/assign.hpp"

namespace azureshore::settings {

namespace {

constexpr std::int64_t most_threads = 64;
constexpr std::int64_t most_body = 64LL * 1024 * 1024;
constexpr std::int64_t hour_ms = 3'600'000;

std::vector<rule> place_rules(daemon_settings& target)
{
    return {
        {"vm.name", value_kind::text, true, "", 0, 0, "Name of this VM, as the list of VMs has it.",
         to_id(target.name)},
        {"vm.data_centre", value_kind::text, true, "", 0, 0, "Data centre this VM stands in.",
         to_id(target.data_centre)},
        {"listen.callers", value_kind::address, true, "", 0, 0, "Where callers' requests come in.",
         to_address(target.callers)},
        {"listen.peers", value_kind::address, true, "", 0, 0,
         "Where other entry VMs' messages come in.", to_address(target.peers)},
        {"listen.admin", value_kind::address, true, "", 0, 0,
         "Where `/status`, `/metrics`, `/healthz` and `/readyz` are served.",
         to_address(target.admin)},
        {"platform.log", value_kind::address, true, "", 0, 0, "The platform's append-only log.",
         to_address(target.log)},
        {"platform.vm_list", value_kind::address, true, "", 0, 0, "The platform's list of VMs.",
         to_address(target.vm_list)},
        {"peers.keys", value_kind::key_list, true, "", 0, 0,
         "Keys of the inner protocol: the first seals, all open.", to_list(target.peer_keys)},
    };
}

std::vector<rule> tuning_rules(daemon_settings& target)
{
    return {
        {"platform.vm_list_interval", value_kind::milliseconds, false, "1000", 50, hour_ms,
         "Time between two reads of the list of VMs.", to_duration(target.vm_list_interval)},
        {"platform.timeout", value_kind::milliseconds, false, "2000", 10, hour_ms,
         "Longest wait for an answer of the platform.", to_duration(target.platform_timeout)},
        {"threads.callers", value_kind::whole_number, false, "2", 1, most_threads,
         "Threads that serve callers.", to_size(target.caller_threads)},
        {"threads.backends", value_kind::whole_number, false, "2", 1, most_threads,
         "Threads that talk to backend servers.", to_size(target.backend_threads)},
        {"limits.max_body", value_kind::whole_number, false, "1048576", 1, most_body,
         "Largest body of a request in bytes.", to_size(target.max_body)},
        {"limits.read_timeout", value_kind::milliseconds, false, "5000", 10, hour_ms,
         "Time a caller has to send a whole request.", to_duration(target.read_timeout)},
        {"stop.drain", value_kind::milliseconds, false, "2000", 0, hour_ms,
         "How long a stopping VM still takes requests while the platform's balancer learns of it.",
         to_duration(target.drain)},
        {"stop.within", value_kind::milliseconds, false, "30000", 100, hour_ms,
         "A planned stop ends within this time.", to_duration(target.stop_within)},
        {"logs.decision_percent", value_kind::whole_number, false, "100", 0, 100,
         "Share of decisions that are logged, in percent.", to_size(target.decision_percent)},
    };
}

} // namespace

std::vector<rule> daemon_rules(daemon_settings& target)
{
    auto rules = place_rules(target);
    auto tuning = tuning_rules(target);
    rules.insert(rules.end(), tuning.begin(), tuning.end());
    return rules;
}

std::variant<daemon_settings, std::vector<problem>> parse_daemon_settings(std::string_view file,
                                                                          std::string_view text)
{
    daemon_settings parsed;
    auto problems = apply_rules(file, text, daemon_rules(parsed));
    if (!problems.empty()) {
        return problems;
    }
    return parsed;
}

std::variant<daemon_settings, std::vector<problem>> load_daemon_settings(const std::string& file)
{
    const auto text = read_text_file(file);
    if (!text) {
        return std::vector<problem>{unreadable(file)};
    }
    return parse_daemon_settings(file, *text);
}

} // namespace azureshore::settings
