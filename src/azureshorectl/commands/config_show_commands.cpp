// The commands that show the tree: config get, explain, history and watch.

#include "azureshore/configuration/inherit.hpp"
#include "azureshore/configuration/tree_text.hpp"
#include "azureshorectl/commands/command.hpp"
#include "azureshorectl/commands/log_session.hpp"
#include "azureshorectl/commands/print.hpp"
#include "azureshorectl/commands/tree_file.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ostream>

namespace azureshore::ctl {

namespace {

using configuration::explained_value;

constexpr auto watch_interval = std::chrono::seconds(1);

// Reads the log and runs `then` on the session.
template <class Then>
exit_status with_log(environment& world, const options& given, Then then)
{
    log_session session(world, given.timeout);
    const auto loaded = session.load(world.now() + given.timeout);
    if (!loaded.ok()) {
        *world.err << "failed: " << loaded.message() << '\n';
        return exit_status::failed;
    }
    return then(session);
}

exit_status run_get(environment& world, const options& given)
{
    return with_log(world, given, [&world](const log_session& session) {
        *world.out << revision_line(session.state().revision()) << '\n'
                   << configuration::to_toml(session.state().settings());
        return exit_status::done;
    });
}

std::string branch_text(const explained_value& value)
{
    return value.branch.empty() ? "built-in default" : configuration::to_string(value.branch);
}

nlohmann::ordered_json values_json(const std::vector<explained_value>& values)
{
    auto shown = nlohmann::ordered_json::object();
    for (const auto& each : values) {
        shown[each.key] = {{"value", to_json(each.value)}, {"branch", branch_text(each)}};
    }
    return shown;
}

void print_values(std::ostream& out, const cell_id& cell,
                  const std::vector<explained_value>& values)
{
    out << cell.service << " in " << cell.data_centre << '\n';
    for (const auto& each : values) {
        out << fmt::format("  {:<18} = {:<10} from {}\n", each.key,
                           configuration::to_string(each.value), branch_text(each));
    }
}

exit_status explain_cells(environment& world, const options& given,
                          const configuration::tree& settings,
                          const std::vector<data_centre_id>& data_centres)
{
    auto shown = nlohmann::ordered_json::object();
    for (const auto& data_centre : data_centres) {
        const cell_id cell{{given.arguments.front()}, data_centre};
        const auto values = configuration::explain(settings, cell);
        if (given.json) {
            shown[data_centre.value] = values_json(values);
        }
        else {
            print_values(*world.out, cell, values);
        }
    }
    if (given.json) {
        *world.out << shown.dump() << '\n';
    }
    return exit_status::done;
}

exit_status run_explain(environment& world, const options& given)
{
    return with_log(world, given, [&](const log_session& session) {
        const auto& settings = session.state().settings();
        if (!settings.contains({configuration::services_table, given.arguments.front()})) {
            *world.err << "there is no service " << given.arguments.front() << '\n';
            return exit_status::failed;
        }
        std::vector<data_centre_id> data_centres;
        for (const auto& [name, each] : session.state().effective()->data_centres) {
            if (given.arguments.size() == 1 || given.arguments[1] == name.value) {
                data_centres.push_back(name);
            }
        }
        if (data_centres.empty()) {
            *world.err << "there is no such data centre\n";
            return exit_status::failed;
        }
        return explain_cells(world, given, settings, data_centres);
    });
}

void print_change(environment& world, const options& given, const wire::accepted_change& change)
{
    *world.out << (given.json ? to_json(change).dump() + "\n" : to_lines(change)) << std::flush;
}

exit_status run_history(environment& world, const options& given)
{
    return with_log(world, given, [&](const log_session& session) {
        for (const auto& each : session.state().recent()) {
            print_change(world, given, each);
        }
        return exit_status::done;
    });
}

exit_status run_watch(environment& world, const options& given)
{
    return with_log(world, given, [&](log_session& session) {
        const auto until = given.wait_given ? world.now() + given.wait : time_point::max();
        auto shown = session.state().revision();
        *world.out << "revision " << shown << " is in force\n" << std::flush;
        while (world.now() < until) {
            if (!session.follow(watch_interval).ok()) {
                world.run_until([] { return false; }, world.now() + watch_interval);
            }
            for (const auto& each : session.state().recent()) {
                if (each.revision > shown) {
                    print_change(world, given, each);
                }
            }
            shown = session.state().revision();
        }
        return exit_status::done;
    });
}

} // namespace

command make_config_get()
{
    return {"config", "get",  "", 0, 0, "print the tree, ready to be edited and applied",
            true,     run_get};
}

command make_config_explain()
{
    return {"config", "explain",  "SERVICE [DATA_CENTRE]",
            1,        2,          "show each value and the branch it comes from",
            true,     run_explain};
}

command make_config_history()
{
    return {"config", "history", "", 0, 0, "show the last accepted changes", true, run_history};
}

command make_config_watch()
{
    return {"config", "watch", "", 0, 0, "show changes as they are accepted", true, run_watch};
}

} // namespace azureshore::ctl
