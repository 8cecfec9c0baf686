#include "processes/whole_path.hpp"

#include "processes/http_calls.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace azureshore::testing {

namespace {

const std::string standin = "tools/standin/azureshore-standin";
const std::string daemon = "src/azureshored/azureshored";
const std::string control_program = "src/azureshorectl/azureshorectl";

// The address after `key` in a line such as "… peers=127.0.0.1:4711 …".
address address_after(const std::string& line, const std::string& key)
{
    const auto start = line.find(key);
    if (start == std::string::npos) {
        throw std::runtime_error("no " + key + " in: " + line);
    }
    std::istringstream rest(line.substr(start + key.size()));
    std::string word;
    rest >> word;
    const auto parsed = parse_address(word);
    if (!parsed.ok()) {
        throw std::runtime_error("no address in: " + line);
    }
    return *parsed;
}

std::unique_ptr<child_process> start_service(const std::string& kind, address& where)
{
    auto process = std::make_unique<child_process>(
        standin, std::vector<std::string>{kind, "--listen", "127.0.0.1:0"});
    where = address_after(process->wait_for_line("listening on"), "listening on ");
    return process;
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream out(path, std::ios::binary);
    out << text;
}

} // namespace

whole_path::whole_path(const path_plan& plan)
{
    this->log_process = start_service("log", this->log);
    this->list_process = start_service("vm-list", this->vm_list);
    for (const auto& [service, count] : plan.services) {
        for (std::size_t i = 0; i < count; ++i) {
            this->start_backend(service + '-' + std::to_string(i + 1), service,
                                plan.data_centres[i % plan.data_centres.size()]);
        }
    }
    for (std::size_t i = 0; i < plan.entry_vms; ++i) {
        this->start_entry("entry-" + std::to_string(i + 1),
                          plan.data_centres[i % plan.data_centres.size()]);
    }
    this->publish(plan.tree);
    this->wait_ready();
}

whole_path::~whole_path() = default;

entry_vm& whole_path::start_entry(const std::string& name, const std::string& data_centre)
{
    std::ostringstream text;
    text << "[vm]\nname = \"" << name << "\"\ndata_centre = \"" << data_centre << "\"\n"
         << "[listen]\ncallers = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
         << "admin = \"127.0.0.1:0\"\n"
         << "[platform]\nlog = \"" << to_string(this->log) << "\"\nvm_list = \""
         << to_string(this->vm_list) << "\"\nvm_list_interval = 100\n"
         << "[peers]\nkeys = [\"" << std::string(64, 'a')
         << "\"]\n[stop]\ndrain = 300\nwithin = 20000\n";
    const auto file = this->folder.file(name + ".toml");
    write_file(file, text.str());
    child_process process(daemon, {"--settings", file});
    const auto line = process.wait_for_line("listening");
    this->entries.push_back({name, std::move(process), address_after(line, "callers="),
                             address_after(line, "peers="), address_after(line, "admin=")});
    this->list(name, data_centre, "", this->entries.back().peers);
    return this->entries.back();
}

backend_vm& whole_path::start_backend(const std::string& name, const std::string& service,
                                      const std::string& data_centre,
                                      const std::vector<std::string>& options)
{
    std::vector<std::string> arguments{"backend-server", "--listen", "127.0.0.1:0", "--name", name,
                                       "--service",      service};
    arguments.insert(arguments.end(), options.begin(), options.end());
    child_process process(standin, arguments);
    const auto line = process.wait_for_line("listening on");
    this->backends.push_back(
        {name, service, data_centre, std::move(process), address_after(line, "listening on ")});
    this->list(name, data_centre, service, this->backends.back().where);
    return this->backends.back();
}

void whole_path::list(const std::string& name, const std::string& data_centre,
                      const std::string& service, const address& where,
                      const std::string& state) const
{
    const auto body = R"({"data_centre":")" + data_centre + R"(","service":")" + service +
                      R"(","address":")" + to_string(where) + R"(","state":")" + state + R"("})";
    const auto result = send("PUT", this->vm_list, "/vms/" + name, body);
    if (result.status != 200) {
        throw std::runtime_error("the list of VMs did not take " + name);
    }
}

void whole_path::publish(const std::string& text) const
{
    const auto file = this->folder.file("tree.toml");
    write_file(file, text);
    const auto applied = this->control({"config", "apply", file});
    if (applied.status != 0) {
        throw std::runtime_error("the tree was not accepted: " + applied.output);
    }
}

std::string whole_path::admin_addresses() const
{
    std::string all;
    for (const auto& each : this->entries) {
        all += (all.empty() ? "" : ",") + to_string(each.admin);
    }
    return all;
}

finished_run whole_path::control(std::vector<std::string> arguments) const
{
    arguments.insert(arguments.end(), {"--log", to_string(this->log), "--daemon",
                                       this->admin_addresses(), "--wait", "30"});
    return run_to_end(control_program, arguments);
}

void whole_path::wait_ready() const
{
    for (const auto& each : this->entries) {
        const bool ready = eventually([&] { return get(each.admin, "/readyz").status == 200; });
        if (!ready) {
            throw std::runtime_error(each.name + " did not become ready");
        }
    }
}

} // namespace azureshore::testing
