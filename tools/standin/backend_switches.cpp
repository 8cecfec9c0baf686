#include "backend_switches.hpp"

#include "http_tools.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace azureshore::standin {

namespace {

using nlohmann::json;
using setter = std::function<void(backend_switches&, const json&)>;

duration milliseconds_in(const json& value)
{
    return std::chrono::milliseconds(value.get<std::int64_t>());
}

const std::map<std::string, setter>& setters()
{
    using to = backend_switches&;
    using value = const json&;
    static const std::map<std::string, setter> all{
        {"drain",
         [](to on, value is) {
             on.faults.drain = is.get<bool>();
         }},
        {"shed",
         [](to on, value is) {
             on.faults.shed = is.get<bool>();
         }},
        {"fail",
         [](to on, value is) {
             on.faults.fail = is.get<bool>();
         }},
        {"slow",
         [](to on, value is) {
             on.faults.slow = is.get<double>();
         }},
        {"health",
         [](to on, value is) {
             on.faults.health = is.get<int>();
         }},
        {"load_lag_ms",
         [](to on, value is) {
             on.faults.load_lag = milliseconds_in(is);
         }},
        {"load_lie",
         [](to on, value is) {
             on.faults.load_lie = is.get<std::int64_t>();
         }},
        {"late_ms",
         [](to on, value is) {
             on.faults.late = milliseconds_in(is);
         }},
        {"reset",
         [](to on, value is) {
             on.faults.reset = is.get<std::int64_t>();
         }},
        {"cut",
         [](to on, value is) {
             on.faults.cut = is.get<std::int64_t>();
         }},
        {"crossed",
         [](to on, value is) {
             on.faults.crossed = is.get<std::int64_t>();
         }},
        {"silent",
         [](to on, value is) {
             on.faults.silent = is.get<std::int64_t>();
         }},
        {"cold",
         [](to on, value is) {
             on.cold = is.get<bool>();
         }},
        {"restart",
         [](to on, value is) {
             on.restart = is.get<bool>();
         }},
    };
    return all;
}

// The query as a JSON object: a value that is no JSON counts as text, and so as wrong.
json object_of(const net::http_call& call)
{
    if (!call.body.empty()) {
        return json::parse(call.body);
    }
    json object = json::object();
    for (const auto& [name, text] : split_target(call.target).query) {
        object[name] = json::parse(text);
    }
    return object;
}

} // namespace

std::optional<backend_switches> read_switches(const net::http_call& call,
                                              const backend_faults& in_force)
{
    backend_switches read;
    read.faults = in_force;
    try {
        const json object = object_of(call);
        for (const auto& [name, value] : object.items()) {
            setters().at(name)(read, value);
        }
    }
    catch (const json::exception&) {
        return std::nullopt;
    }
    catch (const std::out_of_range&) {
        return std::nullopt;
    }
    return read;
}

} // namespace azureshore::standin
