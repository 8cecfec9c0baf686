#include "azureshore/daemon/entry_daemon.hpp"
#include "azureshore/daemon/gateway_daemon.hpp"
#include "azureshore/daemon/start_signals.hpp"
#include "azureshore/daemon/version.hpp"
#include "azureshore/observe/log.hpp"
#include "azureshore/settings/daemon_settings.hpp"
#include "azureshore/settings/gateway_settings.hpp"
#include "platform/users_platform.hpp"

#include <boost/program_options.hpp>

#include <exception>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

namespace {

namespace options = boost::program_options;
namespace daemon_ns = azureshore::daemon;
using azureshore::settings::daemon_settings;
using azureshore::settings::problem;

options::options_description known_options()
{
    options::options_description known("azureshored: the entry VM's daemon");
    known.add_options()("help", "shows this text")("version", "shows the version")(
        "settings", options::value<std::string>(),
        "FILE  the settings file (TOML)")("check-settings", "checks the settings file alone")(
        "gateway", "takes the configuration and the backend servers from the platform's store")(
        "settings-reference", "shows every settings key as a Markdown table");
    return known;
}

int wrong_use(const std::string& why)
{
    std::cerr << "azureshored: " << why << "; see azureshored --help\n";
    return daemon_ns::exit_wrong_use;
}

void print_reference(bool of_gateway)
{
    using namespace azureshore::settings;
    daemon_settings unused;
    gateway_settings unused_too;
    std::cout << to_reference(of_gateway ? gateway_rules(unused_too, unused_too)
                                         : daemon_rules(unused));
}

int report(const std::vector<problem>& problems)
{
    for (const auto& each : problems) {
        std::cerr << to_string(each) << '\n';
    }
    return daemon_ns::exit_wrong_use;
}

int settings_valid(const std::string& file)
{
    std::cout << file << ": settings are valid\n";
    return daemon_ns::exit_stopped;
}

int run_with(const std::string& file, bool check_alone)
{
    const auto loaded = azureshore::settings::load_daemon_settings(file);
    if (const auto* problems = std::get_if<std::vector<problem>>(&loaded)) {
        return report(*problems);
    }
    if (check_alone) {
        return settings_valid(file);
    }
    azureshore::observe::start_logging("azureshored");
    daemon_ns::entry_daemon running(std::get<daemon_settings>(loaded));
    return running.run();
}

int run_gateway(const std::string& file, bool check_alone)
{
    const auto loaded = azureshore::settings::load_gateway_settings(file);
    if (!loaded.problems.empty()) {
        return report(loaded.problems);
    }
    if (check_alone) {
        for (const auto& each : loaded.substitutions) {
            std::cout << to_string(each) << '\n';
        }
        return settings_valid(file);
    }
    daemon_ns::gateway_daemon running(loaded, file,
                                      azureshore::users_platform::make_users_platform());
    return running.run();
}

int run_command(const options::variables_map& values, const options::options_description& known)
{
    if (values.count("help") > 0) {
        std::cout << known;
        return daemon_ns::exit_stopped;
    }
    if (values.count("version") > 0) {
        std::cout << "azureshored " << daemon_ns::version << '\n';
        return daemon_ns::exit_stopped;
    }
    if (values.count("settings-reference") > 0) {
        print_reference(values.count("gateway") > 0);
        return daemon_ns::exit_stopped;
    }
    if (values.count("settings") == 0) {
        return wrong_use("--settings FILE is needed");
    }
    const auto file = values["settings"].as<std::string>();
    const bool check_alone = values.count("check-settings") > 0;
    return values.count("gateway") > 0 ? run_gateway(file, check_alone)
                                       : run_with(file, check_alone);
}

} // namespace

int main(int argc, char** argv)
{
    daemon_ns::hold_signals();
    const auto known = known_options();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, known), values);
    }
    catch (const options::error& error) {
        return wrong_use(error.what());
    }
    try {
        return run_command(values, known);
    }
    catch (const std::exception& error) {
        std::cerr << "azureshored: " << error.what() << '\n';
        return daemon_ns::exit_failed;
    }
}
