#pragma once

#include "azureshore/configuration/tree.hpp"
#include "azureshorectl/commands/environment.hpp"
#include "azureshorectl/commands/exit_status.hpp"
#include "azureshorectl/commands/log_session.hpp"

#include <cstdint>
#include <vector>

namespace azureshore::ctl {

// Appends a change to the log, settles what became of it, tells the operator, and waits until it
// is in force. Appends nothing when the tree holds all edits already.
exit_status publish(environment& world, const options& given, log_session& session,
                    std::uint64_t base, const std::vector<wire::setting_edit>& edits);

// Says that a revision is accepted, and waits until it is in force on the daemons that were given.
exit_status tell_in_force(environment& world, const options& given, std::uint64_t revision);

} // namespace azureshore::ctl
