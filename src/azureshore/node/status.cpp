#include "azureshore/node/entry_node.hpp"

#include <nlohmann/json.hpp>

namespace azureshore::node {

namespace {

using nlohmann::ordered_json;

std::string_view name_of(membership::member_state state)
{
    return state == membership::member_state::live ? "live" : "leaving";
}

ordered_json backend_json(const routing::backend_status& backend)
{
    return {{"name", backend.name.value}, {"data_centre", backend.data_centre.value},
            {"state", backend.state},     {"window", backend.window},
            {"running", backend.running}, {"refused", backend.refused}};
}

ordered_json service_json(const service_status& service)
{
    auto backends = ordered_json::array();
    for (const auto& each : service.backends) {
        backends.push_back(backend_json(each));
    }
    return {{"name", service.name.value},
            {"in_flight", service.in_flight},
            {"backend_servers", std::move(backends)}};
}

} // namespace

std::string to_json(const node_status& status)
{
    auto members = ordered_json::array();
    for (const auto& each : status.members) {
        members.push_back({{"name", each.name.value},
                           {"data_centre", each.data_centre.value},
                           {"state", name_of(each.state)}});
    }
    auto data_centres = ordered_json::array();
    for (const auto& each : status.data_centres) {
        data_centres.push_back({{"name", each.name.value},
                                {"region", each.region.value},
                                {"in_service", each.in_service}});
    }
    auto services = ordered_json::array();
    for (const auto& each : status.services) {
        services.push_back(service_json(each));
    }
    const ordered_json shown{{"vm", status.self.name.value},
                             {"data_centre", status.self.data_centre.value},
                             {"revision", status.revision},
                             {"ready", !status.not_ready.has_value()},
                             {"reason", status.not_ready.value_or("")},
                             {"vms", std::move(members)},
                             {"data_centres", std::move(data_centres)},
                             {"services", std::move(services)}};
    return shown.dump();
}

} // namespace azureshore::node
