// The commands that take data centres and VMs out of service and back.

#include "azureshorectl/commands/command.hpp"
#include "azureshorectl/commands/publish.hpp"

#include <ostream>

namespace azureshore::ctl {

namespace {

using configuration::tree;
using edits_function = std::function<std::vector<wire::setting_edit>(const std::string& name)>;

wire::setting_path in_service_path(const char* table, const std::string& name)
{
    return {table, name, configuration::in_service_key};
}

// Publishes the edits that a tree needs; a name that the tree must have may be asked for.
exit_status run_edits(environment& world, const options& given, const char* required_table,
                      const edits_function& make_edits)
{
    const auto& name = given.arguments.front();
    log_session session(world, given.timeout);
    const auto loaded = session.load(world.now() + given.timeout);
    if (!loaded.ok()) {
        *world.err << "failed: " << loaded.message() << '\n';
        return exit_status::failed;
    }
    const auto& settings = session.state().settings();
    if (required_table != nullptr && !settings.contains({required_table, name})) {
        *world.err << "there is no " << configuration::to_string({required_table, name})
                   << " in the tree\n";
        return exit_status::failed;
    }
    const auto base = given.base.value_or(session.state().revision());
    return publish(world, given, session, base, make_edits(name));
}

command data_centre_command(const char* verb, bool in_service, const char* help)
{
    const auto run = [in_service](environment& world, const options& given) {
        return run_edits(
            world, given, configuration::data_centres_table, [in_service](const std::string& name) {
                return std::vector<wire::setting_edit>{
                    {in_service_path(configuration::data_centres_table, name), in_service}};
            });
    };
    return {"data-centre", verb, "NAME", 1, 1, help, true, run};
}

std::vector<wire::setting_edit> vm_out_edits(const std::string& name)
{
    return {{{configuration::vms_table, name}, wire::branch_mark{}},
            {in_service_path(configuration::vms_table, name), false}};
}

// A VM in service needs no branch.
std::vector<wire::setting_edit> vm_in_edits(const std::string& name)
{
    return {{{configuration::vms_table, name}, std::nullopt},
            {in_service_path(configuration::vms_table, name), std::nullopt}};
}

command vm_command(const char* verb, const edits_function& edits, const char* help)
{
    const auto run = [edits](environment& world, const options& given) {
        return run_edits(world, given, nullptr, edits);
    };
    return {"vm", verb, "NAME", 1, 1, help, true, run};
}

} // namespace

command make_data_centre_out()
{
    return data_centre_command("out", false, "give a data centre no new work");
}

command make_data_centre_in()
{
    return data_centre_command("in", true, "take a data centre back into service");
}

command make_vm_out()
{
    return vm_command("out", vm_out_edits, "give an entry or backend server's VM no new work");
}

command make_vm_in()
{
    return vm_command("in", vm_in_edits, "take a VM back into service");
}

} // namespace azureshore::ctl
