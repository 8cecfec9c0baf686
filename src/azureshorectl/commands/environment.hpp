#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/platform/log.hpp"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::ctl {

// What a daemon's status tells of one VM.
struct vm_status {
    std::string vm;
    std::uint64_t revision = 0;
    // All VMs that this one believes to live, itself included.
    std::vector<std::string> members;
    // The whole status as the daemon wrote it, in JSON.
    std::string json = {};
};

using status_function =
    std::function<void(const address& daemon, std::function<void(absl::StatusOr<vm_status>)> done)>;

// The world around a command; tests put fakes behind it.
struct environment {
    platform::log_hooks log;
    status_function fetch_status;
    std::function<time_point()> now;
    // Lets time pass until the condition holds or the moment is there; true when it holds.
    std::function<bool(const std::function<bool()>& condition, time_point until)> run_until;
    std::function<std::chrono::sys_seconds()> wall_clock;
    std::function<std::string()> make_change_id;
    std::function<absl::StatusOr<std::string>(const std::string& path)> read_file;
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
};

// What the command line says besides the command's own words.
struct options {
    std::vector<std::string> arguments;
    std::vector<address> daemons;
    // Longest time to wait until a change is in force on the daemons' VMs.
    duration wait = std::chrono::seconds(5);
    // Longest time to settle what became of a change, or to read the log.
    duration timeout = std::chrono::seconds(10);
    std::string author;
    std::string change_id;
    // The revision that the operator saw; nothing when the command line does not say.
    std::optional<std::uint64_t> base;
    bool json = false;
    // Whether `wait` was given on the command line.
    bool wait_given = false;
};

} // namespace azureshore::ctl
