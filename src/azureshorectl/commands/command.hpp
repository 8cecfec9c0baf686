#pragma once

#include "azureshorectl/commands/environment.hpp"
#include "azureshorectl/commands/exit_status.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace azureshore::ctl {

// One command such as `config apply FILE`.
struct command {
    // The words that select it.
    std::string group;
    std::string verb;
    // Its arguments as the help shows them, and how many it takes.
    std::string arguments;
    std::size_t least_arguments = 0;
    std::size_t most_arguments = 0;
    std::string help;
    // Whether it reads or writes the platform's log.
    bool needs_log = true;
    std::function<exit_status(environment&, const options&)> run;
};

command make_config_check();
command make_config_diff();
command make_config_apply();
command make_config_get();
command make_config_explain();
command make_config_history();
command make_config_watch();
command make_data_centre_out();
command make_data_centre_in();
command make_vm_out();
command make_vm_in();
command make_status();
command make_explain();
command make_accounts();

// Every command, in the order of the help.
const std::vector<command>& commands();

// The command that the words name; null when there is none. A command without a verb is named by
// one word.
const command* find_command(const std::vector<std::string>& words);

} // namespace azureshore::ctl
