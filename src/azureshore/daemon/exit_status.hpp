#pragma once

namespace azureshore::daemon {

// Exit statuses of a daemon.
constexpr int exit_stopped = 0;
constexpr int exit_failed = 1;
constexpr int exit_wrong_use = 2;

} // namespace azureshore::daemon
