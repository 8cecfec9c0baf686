#include "azureshore/settings/gateway_settings.hpp"

#include "azureshore/settings/assign.hpp"

namespace azureshore::settings {

namespace {

constexpr std::int64_t hour_ms = 3'600'000;
constexpr std::int64_t most_sends = 1'000'000;
constexpr std::int64_t most_lines = 1'000'000;
constexpr std::int64_t most_memory_mb = 100'000'000;

// Makes the actions that take over a member of the settings in force.
struct keeper {
    gateway_settings& target;
    const gateway_settings& in_force;

    template <class Value>
    std::function<void()> operator()(Value gateway_settings::*member) const
    {
        return [&target = this->target, &in_force = this->in_force, member] {
            target.*member = in_force.*member;
        };
    }
};

std::vector<rule> place_rules(gateway_settings& target, const gateway_settings& in_force)
{
    const keeper keep{target, in_force};
    return {
        {"vm.name", value_kind::text, true, "", 0, 0, "Name of this VM.", to_id(target.name),
         keep(&gateway_settings::name)},
        {"vm.data_centre", value_kind::text, true, "", 0, 0, "Data centre this VM stands in.",
         to_id(target.data_centre), keep(&gateway_settings::data_centre)},
        {"listen.callers", value_kind::address, true, "", 0, 0, "Where callers' requests come in.",
         to_address(target.callers), keep(&gateway_settings::callers)},
        {"listen.ready", value_kind::address, true, "", 0, 0,
         "Where the platform's balancer asks whether this daemon is ready.",
         to_address(target.ready), keep(&gateway_settings::ready)},
        {"listen.peers", value_kind::address, true, "", 0, 0,
         "Where other daemons' datagrams come in; the port is the same on all VMs.",
         to_address(target.peers), keep(&gateway_settings::peers)},
        {"listen.metrics", value_kind::address, false, "no page", 0, 0,
         "Where `/metrics` is served.",
         [&target](const found_value& found) { target.metrics = found.where; },
         keep(&gateway_settings::metrics)},
        {"peers.seeds", value_kind::address_list, false, "none", 0, 0,
         "Daemons to ask at the start when the store does not answer; they are asked at the port "
         "of `listen.peers`.",
         to_addresses(target.seeds), keep(&gateway_settings::seeds)},
        {"peers.first_start", value_kind::flag, false, "false", 0, 0,
         "Whether the whole deployment starts for the first time, so that nobody can be found "
         "through "
         "the store yet.",
         to_flag(target.first_start), keep(&gateway_settings::first_start)},
        {"store.address", value_kind::address, true, "", 0, 0, "The platform's store.",
         to_address(target.store), keep(&gateway_settings::store)},
    };
}

std::vector<rule> tuning_rules(gateway_settings& target, const gateway_settings& in_force)
{
    const keeper keep{target, in_force};
    return {
        {"store.timeout", value_kind::time_span, false, "600", 10, hour_ms,
         "Longest wait for an answer of the store beyond the wait that it was asked for.",
         to_duration(target.store_timeout), keep(&gateway_settings::store_timeout)},
        {"bounds.apply_within", value_kind::time_span, false, "2000", 100, hour_ms,
         "A configuration, or that a backend server leaves, has effect within this time.",
         to_duration(target.apply_within), keep(&gateway_settings::apply_within)},
        {"bounds.stop_within", value_kind::time_span, false, "6000", 100, hour_ms,
         "A planned stop ends within this time.", to_duration(target.stop_within),
         keep(&gateway_settings::stop_within)},
        {"bounds.retry_ratio", value_kind::fraction, false, "0.2", 0, 1,
         "Second sends of all daemons to a service, as a share of its requests.",
         to_fraction(target.retry_ratio), keep(&gateway_settings::retry_ratio)},
        {"bounds.retry_slack", value_kind::fraction, false, "50", 0, most_sends,
         "Second sends of all daemons to a service in one window, beyond that share.",
         to_fraction(target.retry_slack), keep(&gateway_settings::retry_slack)},
        {"bounds.retry_window", value_kind::time_span, false, "10000", 100, hour_ms,
         "The window in which second sends are counted.", to_duration(target.retry_window),
         keep(&gateway_settings::retry_window)},
        {"bounds.probes_per_second", value_kind::fraction, false, "60", 0, most_sends,
         "Health checks a second that one backend server gets from all daemons.",
         to_fraction(target.probes_per_second), keep(&gateway_settings::probes_per_second)},
        {"bounds.quota_window", value_kind::time_span, false, "5000", 100, hour_ms,
         "The window in which the requests of a client account are counted.",
         to_duration(target.quota_window), keep(&gateway_settings::quota_window)},
        {"bounds.quota_overshoot", value_kind::fraction, false, "0.1", 0, 1,
         "Requests of a client account beyond its quota in one window, as a share of the quota.",
         to_fraction(target.quota_overshoot), keep(&gateway_settings::quota_overshoot)},
        {"bounds.quota_slack", value_kind::fraction, false, "20", 0, most_sends,
         "Requests of a client account in one window beyond its quota and that share.",
         to_fraction(target.quota_slack), keep(&gateway_settings::quota_slack)},
        {"bounds.exposure_share", value_kind::fraction, false, "0.1", 0, 1,
         "Largest share of a service's requests that a version gets in a roll-out that is not "
         "decided.",
         to_fraction(target.exposure_share), keep(&gateway_settings::exposure_share)},
        {"bounds.exposure_slack", value_kind::fraction, false, "50", 0, most_sends,
         "Requests of all daemons to that version beyond the share, which cover what daemons send "
         "before they know of the roll-out.",
         to_fraction(target.exposure_slack), keep(&gateway_settings::exposure_slack)},
        {"bounds.rollback_within", value_kind::time_span, false, "5000", 100, hour_ms,
         "A version whose responses are bad gets no requests after this time.",
         to_duration(target.rollback_within), keep(&gateway_settings::rollback_within)},
        {"logs.lines_per_second", value_kind::whole_number, false, "100", 0, most_lines,
         "Most log lines a second; more are counted and dropped.",
         to_size(target.log_lines_per_second), keep(&gateway_settings::log_lines_per_second)},
        {"limits.memory", value_kind::fraction, false, "the system's", 0, most_memory_mb,
         "Memory of the machine in MB (1,000,000 bytes), or zero for the system's. What callers "
         "and backend servers send takes at most this less a reserve of 28 to 128 MB.",
         to_whole_part(target.memory_mb), keep(&gateway_settings::memory_mb)},
    };
}

} // namespace

std::vector<rule> gateway_rules(gateway_settings& target, const gateway_settings& in_force)
{
    auto rules = place_rules(target, in_force);
    auto tuning = tuning_rules(target, in_force);
    rules.insert(rules.end(), tuning.begin(), tuning.end());
    return rules;
}

gateway_settings_reading parse_gateway_settings(std::string_view file, std::string_view text,
                                                const gateway_settings* in_force)
{
    const gateway_settings defaults;
    gateway_settings_reading read;
    const auto rules = gateway_rules(read.settings, in_force != nullptr ? *in_force : defaults);
    const auto tolerated =
        in_force != nullptr ? tolerance::every_value : tolerance::values_not_required;
    auto reading = read_rules(file, text, rules, tolerated);
    read.problems = std::move(reading.problems);
    read.substitutions = std::move(reading.substitutions);
    return read;
}

gateway_settings_reading load_gateway_settings(const std::string& file,
                                               const gateway_settings* in_force)
{
    const auto text = read_text_file(file);
    if (!text) {
        return {{}, {unreadable(file)}, {}};
    }
    return parse_gateway_settings(file, *text, in_force);
}

} // namespace azureshore::settings
