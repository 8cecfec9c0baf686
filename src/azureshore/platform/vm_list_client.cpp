#include "azureshore/platform/vm_list_client.hpp"

#include "azureshore/core/failure.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace azureshore::platform {

namespace {

constexpr int status_ok = 200;
constexpr std::size_t max_list_bytes = 16UL * 1024UL * 1024UL;

vm_entry read_entry(const nlohmann::json& line)
{
    vm_entry entry;
    entry.name.value = line.at("name").get<std::string>();
    entry.data_centre.value = line.at("data_centre").get<std::string>();
    entry.service.value = line.value("service", "");
    const auto where = parse_address(line.at("address").get<std::string>());
    if (!where.ok()) {
        throw std::invalid_argument("address");
    }
    entry.where = *where;
    entry.state = line.value("state", "live") == "leaving" ? vm_state::leaving : vm_state::live;
    return entry;
}

} // namespace

vm_list_result parse_vm_list(std::string_view text)
{
    std::vector<vm_entry> entries;
    try {
        const auto document = nlohmann::json::parse(text);
        for (const auto& line : document.at("vms")) {
            entries.push_back(read_entry(line));
        }
    }
    catch (const std::exception&) {
        return make_status(failure::platform_refused, "not a list of VMs");
    }
    return entries;
}

void fetch_vm_list(net::http_client& http, const address& where, duration timeout,
                   std::function<void(vm_list_result)> done)
{
    net::http_request request;
    request.where = where;
    request.target = "/vms";
    request.timeout = timeout;
    request.max_answer_body = max_list_bytes;
    http.start(std::move(request), [done = std::move(done)](const net::http_result& result) {
        if (result.why != failure::none || result.status != status_ok) {
            done(make_status(failure::platform_unreachable, "the list of VMs did not answer"));
            return;
        }
        done(parse_vm_list(result.body));
    });
}

} // namespace azureshore::platform
