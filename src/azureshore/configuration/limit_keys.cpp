#include "azureshore/configuration/limit_keys.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <type_traits>

namespace azureshore::configuration {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How many of `Unit` a key holds, as a whole number.
template <class Unit>
limit_key span_key(std::string_view name, duration service_limits::*member, double least,
                   double most, std::string_view unit, std::string_view help)
{
    return {name,
            value_type::whole,
            least,
            most,
            unit,
            help,
            [member](service_limits& limits, const wire::setting_value& value) {
                limits.*member = Unit(std::get<std::int64_t>(value));
            },
            [member](const service_limits& limits) -> wire::setting_value {
                return std::int64_t{std::chrono::duration_cast<Unit>(limits.*member).count()};
            }};
}

template <class Count>
limit_key count_key(std::string_view name, Count service_limits::*member, double least, double most,
                    std::string_view unit, std::string_view help)
{
    return {name,
            value_type::whole,
            least,
            most,
            unit,
            help,
            [member](service_limits& limits, const wire::setting_value& value) {
                limits.*member = static_cast<Count>(std::get<std::int64_t>(value));
            },
            [member](const service_limits& limits) -> wire::setting_value {
                return static_cast<std::int64_t>(limits.*member);
            }};
}

// A number may be written with or without a point.
double as_number(const wire::setting_value& value)
{
    const auto* whole = std::get_if<std::int64_t>(&value);
    return whole != nullptr ? static_cast<double>(*whole) : std::get<double>(value);
}

limit_key number_key(std::string_view name, double service_limits::*member, double least,
                     double most, std::string_view unit, std::string_view help)
{
    return {name,
            value_type::number,
            least,
            most,
            unit,
            help,
            [member](service_limits& limits, const wire::setting_value& value) {
                limits.*member = as_number(value);
            },
            [member](const service_limits& limits) -> wire::setting_value {
                return limits.*member;
            }};
}

limit_key flag_key(std::string_view name, bool service_limits::*member, std::string_view help)
{
    return {name,
            value_type::flag,
            0,
            0,
            "",
            help,
            [member](service_limits& limits, const wire::setting_value& value) {
                limits.*member = std::get<bool>(value);
            },
            [member](const service_limits& limits) -> wire::setting_value {
                return limits.*member;
            }};
}

// Longest time a request may be given, and longest that a key may be remembered.
constexpr double most_deadline_ms = 600'000;
constexpr double most_lifetime_s = 604'800;
constexpr double most_retention_s = 31'536'000;
constexpr double most_count = 100'000;
constexpr double most_body = 64.0 * 1024 * 1024;
constexpr double most_attempts = 10;

std::vector<limit_key> make_limit_keys()
{
    using limits = service_limits;
    return {
        count_key("slots", &limits::slots, 1, most_count, "requests",
                  "that one backend server works on at once when warm"),
        count_key("cold_window", &limits::cold_window, 1, most_count, "requests",
                  "that one backend server bears while it is cold; at most slots"),
        count_key("connections", &limits::connections, 1, most_count, "connections",
                  "that one backend server accepts; at least slots"),
        span_key<milliseconds>("deadline_ms", &limits::deadline, 1, most_deadline_ms, "ms",
                               "that a request has when its caller names no deadline"),
        number_key("retry_ratio", &limits::retry_ratio, 0, 1, "share",
                   "of retries per first attempt, summed over the service on one VM"),
        count_key("max_attempts", &limits::max_attempts, 1, most_attempts, "attempts",
                  "of one request at most, the first included"),
        number_key("probes_per_second", &limits::probes_per_second, 0, most_count, "probes/s",
                   "of load over all VMs"),
        number_key("outlier_share", &limits::outlier_share, 0, 1, "share",
                   "of a service's backend servers in a data centre that may be set aside"),
        count_key("max_body_bytes", &limits::max_body, 1, most_body, "bytes",
                  "of the largest body taken from a caller or a backend server"),
        flag_key("require_key", &limits::require_key,
                 "whether a non-idempotent request must carry an Idempotency-Key"),
        span_key<seconds>("key_lifetime_s", &limits::key_lifetime, 1, most_lifetime_s, "s",
                          "that the outcome of an Idempotency-Key is remembered"),
        number_key("appends_per_second", &limits::appends_per_second, 1, most_count, "appends/s",
                   "on the platform's log for keyed requests, over all VMs"),
        span_key<seconds>("log_retention_s", &limits::log_retention, 1, most_retention_s, "s",
                          "that the platform's log keeps a record"),
        flag_key("hedge", &limits::hedge, "whether idempotent requests may be hedged"),
    };
}

} // namespace

std::string_view to_string(value_type type)
{
    switch (type) {
    case value_type::flag:
        return "true or false";
    case value_type::whole:
        return "a whole number";
    case value_type::number:
        return "a number";
    }
    return "unknown";
}

const std::vector<limit_key>& limit_keys()
{
    static const auto keys = make_limit_keys();
    return keys;
}

const limit_key* find_limit_key(std::string_view name)
{
    const auto& keys = limit_keys();
    const auto at = std::find_if(keys.begin(), keys.end(),
                                 [name](const limit_key& each) { return each.name == name; });
    return at == keys.end() ? nullptr : &*at;
}

} // namespace azureshore::configuration
