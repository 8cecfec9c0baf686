#pragma once

#include "azureshorectl/commands/command.hpp"

#include <optional>
#include <string>
#include <vector>

namespace azureshore::ctl {

// A command line as it was understood.
struct command_line {
    // Null when only help or the version was asked for, or when `wrong` says what is wrong.
    const command* chosen = nullptr;
    options given;
    std::optional<address> log;
    bool help = false;
    bool version = false;
    std::string wrong;
};

// Reads the words after the program's name.
command_line read_command_line(const std::vector<std::string>& words);

// What --help shows.
std::string usage();

} // namespace azureshore::ctl
