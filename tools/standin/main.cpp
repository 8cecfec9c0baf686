#include "backend_server.hpp"
#include "keyed_store.hpp"
#include "log_service.hpp"
#include "request.hpp"
#include "vm_list_service.hpp"

#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

using subcommand = std::function<int(const std::vector<std::string>&)>;

constexpr int exit_wrong_use = 2;

const std::map<std::string, subcommand>& subcommands()
{
    static const std::map<std::string, subcommand> all{
        {"backend-server", azureshore::standin::run_backend_server},
        {"log", azureshore::standin::run_log_service},
        {"request", azureshore::standin::run_request},
        {"store", azureshore::standin::run_keyed_store},
        {"vm-list", azureshore::standin::run_vm_list_service},
    };
    return all;
}

void print_usage(std::ostream& out)
{
    out << "usage: azureshore-standin SUBCOMMAND [OPTION...]\n"
        << "subcommands, each with --help:\n";
    for (const auto& [name, run] : subcommands()) {
        out << "  " << name << '\n';
    }
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (!words.empty() && words.front() == "--help") {
        print_usage(std::cout);
        return 0;
    }
    const auto found = words.empty() ? subcommands().end() : subcommands().find(words.front());
    if (found == subcommands().end()) {
        print_usage(std::cerr);
        return exit_wrong_use;
    }
    return found->second({words.begin() + 1, words.end()});
}
