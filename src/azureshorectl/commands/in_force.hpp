#pragma once

#include "azureshorectl/commands/environment.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace azureshore::ctl {

// What each daemon answered, in the order asked; nothing for one that did not answer in time.
using statuses = std::vector<std::optional<vm_status>>;

// Asks every daemon once, all at the same time.
statuses ask_all(environment& world, const std::vector<address>& daemons);

// Which VMs have a revision in force.
struct in_force_report {
    std::vector<std::string> in_force;
    // VMs that have an older revision, or daemons that do not answer, with what is known of each.
    std::vector<std::string> lacking;
    // Live VMs that the asked daemons know of but that were not asked themselves.
    std::vector<std::string> not_asked;

    [[nodiscard]] bool everywhere() const
    {
        return this->lacking.empty() && this->not_asked.empty();
    }
};

// Asks the daemons again and again until all have the revision in force, or the wait is over.
in_force_report wait_in_force(environment& world, const options& given, std::uint64_t revision);

// Whether some daemon has exactly this revision in force.
bool is_in_force_somewhere(environment& world, const options& given, std::uint64_t revision);

} // namespace azureshore::ctl
