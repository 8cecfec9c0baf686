// The command that shows the daemons' view of the system: status.

#include "azureshorectl/commands/command.hpp"
#include "azureshorectl/commands/in_force.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <ostream>

namespace azureshore::ctl {

namespace {

using nlohmann::json;

struct shown_daemon {
    std::string where;
    // Null when the daemon did not answer.
    json status;
};

std::vector<shown_daemon> ask_daemons(environment& world, const options& given)
{
    const auto answers = ask_all(world, given.daemons);
    std::vector<shown_daemon> shown;
    for (std::size_t i = 0; i < answers.size(); ++i) {
        auto status = answers[i] ? json::parse(answers[i]->json, nullptr, false) : json();
        shown.push_back({to_string(given.daemons[i]), std::move(status)});
    }
    return shown;
}

bool answered(const shown_daemon& daemon)
{
    return daemon.status.is_object();
}

std::string text_of(const json& from, const char* key)
{
    const auto found = from.find(key);
    if (found == from.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::string readiness_of(const json& status)
{
    const auto reason = status.value("reason", "");
    return status.value("ready", false) ? "ready" : "not ready: " + reason;
}

void print_vms(std::ostream& out, const std::vector<shown_daemon>& daemons)
{
    out << fmt::format("{:<24} {:<18} {:>8}  {}\n", "VM", "DATA CENTRE", "REVISION", "STATE");
    for (const auto& each : daemons) {
        if (!answered(each)) {
            out << fmt::format("{:<24} {:<18} {:>8}  {}\n", each.where, "-", "-", "no answer");
            continue;
        }
        out << fmt::format("{:<24} {:<18} {:>8}  {}\n", text_of(each.status, "vm"),
                           text_of(each.status, "data_centre"), text_of(each.status, "revision"),
                           readiness_of(each.status));
    }
}

// The newest daemon's word counts.
void print_data_centres(std::ostream& out, const std::vector<shown_daemon>& daemons)
{
    const json* newest = nullptr;
    for (const auto& each : daemons) {
        const bool newer = answered(each) &&
                           (newest == nullptr ||
                            each.status.value("revision", 0ULL) > newest->value("revision", 0ULL));
        newest = newer ? &each.status : newest;
    }
    if (newest == nullptr) {
        return;
    }
    out << fmt::format("\n{:<24} {:<18} {}\n", "DATA CENTRE", "REGION", "SERVICE STATE");
    for (const auto& each : newest->value("data_centres", json::array())) {
        out << fmt::format("{:<24} {:<18} {}\n", text_of(each, "name"), text_of(each, "region"),
                           each.value("in_service", true) ? "in service" : "out of service");
    }
}

// Each backend server is told of by the VM that leads its pool; of two, the one that gave it more
// work knows it better.
std::map<std::string, json> backends_by_name(const std::vector<shown_daemon>& daemons)
{
    std::map<std::string, json> all;
    for (const auto& daemon : daemons) {
        if (!answered(daemon)) {
            continue;
        }
        for (const auto& service : daemon.status.value("services", json::array())) {
            for (auto backend : service.value("backend_servers", json::array())) {
                backend["service"] = service.value("name", "");
                auto& known = all[text_of(backend, "name")];
                const bool better =
                    known.is_null() || backend.value("window", 0.0) > known.value("window", 0.0);
                known = better ? backend : known;
            }
        }
    }
    return all;
}

void print_backends(std::ostream& out, const std::vector<shown_daemon>& daemons)
{
    const auto* const row = "{:<24} {:<18} {:<16} {:<10} {:>6} {:>7} {:>7}\n";
    out << '\n'
        << fmt::format(fmt::runtime(row), "BACKEND SERVER", "DATA CENTRE", "SERVICE", "STATE",
                       "WINDOW", "RUNNING", "REFUSED");
    for (const auto& [name, each] : backends_by_name(daemons)) {
        out << fmt::format(fmt::runtime(row), name, text_of(each, "data_centre"),
                           text_of(each, "service"), text_of(each, "state"),
                           text_of(each, "window"), text_of(each, "running"),
                           text_of(each, "refused"));
    }
}

void print_json(std::ostream& out, const std::vector<shown_daemon>& daemons)
{
    auto all = json::array();
    for (const auto& each : daemons) {
        all.push_back({{"daemon", each.where}, {"status", each.status}});
    }
    out << all.dump(2) << '\n';
}

exit_status run_status(environment& world, const options& given)
{
    if (given.daemons.empty()) {
        *world.err << "status needs --daemon HOST:PORT[,...]\n";
        return exit_status::wrong_use;
    }
    const auto daemons = ask_daemons(world, given);
    if (given.json) {
        print_json(*world.out, daemons);
    }
    else {
        print_vms(*world.out, daemons);
        print_data_centres(*world.out, daemons);
        print_backends(*world.out, daemons);
    }
    const bool all_answered = std::all_of(daemons.begin(), daemons.end(), answered);
    return all_answered ? exit_status::done : exit_status::failed;
}

} // namespace

command make_status()
{
    command made;
    made.group = "status";
    made.help = "shows VMs, data centres and backend servers as the daemons see them";
    made.needs_log = false;
    made.run = run_status;
    return made;
}

} // namespace azureshore::ctl
