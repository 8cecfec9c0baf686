#include "vm_list_service.hpp"

#include "http_tools.hpp"

#include <nlohmann/json.hpp>

namespace azureshore::standin {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;
constexpr std::string_view list_path = "/vms";
constexpr std::string_view entry_prefix = "/vms/";

bool is_entry(const std::string& body)
{
    const auto entry = nlohmann::json::parse(body, nullptr, false);
    return entry.is_object() && entry.contains("address") && entry.contains("data_centre");
}

} // namespace

void vm_list_service::handle(const net::http_call& call, const net::responder& respond)
{
    const auto parts = split_target(call.target);
    if (parts.path == "/standin/faults") {
        this->set_faults(call, respond);
        return;
    }
    if (parts.path.starts_with(entry_prefix)) {
        this->change(call, parts.path.substr(entry_prefix.size()), respond);
        return;
    }
    if (parts.path != list_path) {
        respond(json_answer(status_not_found, "{}"));
        return;
    }
    net::http_answer answer = json_answer(status_unavailable, "{}");
    {
        const std::lock_guard hold(this->lock);
        if (!this->outage) {
            answer = json_answer(status_ok, this->shown(steady_now()));
        }
    }
    respond(answer);
}

void vm_list_service::change(const net::http_call& call, const std::string& name,
                             const net::responder& respond)
{
    const bool removes = call.method == "DELETE";
    if (!removes && !is_entry(call.body)) {
        respond(
            json_answer(status_bad_request, R"({"error":"an entry has address, data_centre"})"));
        return;
    }
    {
        const std::lock_guard hold(this->lock);
        version next{steady_now(), this->versions.back().entries};
        if (removes) {
            next.entries.erase(name);
        }
        else {
            auto entry = nlohmann::json::parse(call.body);
            entry["name"] = name;
            next.entries[name] = entry.dump();
        }
        this->versions.push_back(std::move(next));
    }
    respond(json_answer(status_ok, "{}"));
}

std::string vm_list_service::shown(time_point now)
{
    while (this->versions.size() > 1 && this->versions[1].when + this->lag <= now) {
        this->versions.pop_front();
    }
    std::string lines;
    for (const auto& [name, entry] : this->versions.front().entries) {
        lines += lines.empty() ? "" : ",";
        lines += entry;
    }
    return R"({"vms":[)" + lines + "]}";
}

void vm_list_service::set_faults(const net::http_call& call, const net::responder& respond)
{
    const auto parts = split_target(call.target);
    {
        const std::lock_guard hold(this->lock);
        const auto current = std::chrono::duration_cast<std::chrono::milliseconds>(this->lag);
        this->lag = std::chrono::milliseconds(parts.number("lag_ms", current.count()));
        this->outage = parts.number("outage", this->outage ? 1 : 0) != 0;
    }
    respond(json_answer(status_ok, "{}"));
}

} // namespace azureshore::standin
