#pragma once

namespace azureshore::ctl {

// How a command ended, as scripts see it.
enum class exit_status : int {
    // Done; a change is accepted, and in force on every VM that was asked.
    done = 0,
    failed = 1,
    wrong_use = 2,
    // The change was refused because of what others changed meanwhile.
    conflict = 3,
    // The change may or may not be accepted: its acknowledgement was lost and the log cannot be
    // read. The same command with the same --change-id settles it.
    not_known = 4,
    // The change is accepted, but some VMs do not have it in force yet.
    not_everywhere = 5,
};

} // namespace azureshore::ctl
