#pragma once

namespace azureshore::daemon {

// Holds back SIGTERM, SIGINT and SIGHUP until release_signals(), so that one that comes before its
// handler is set does not end the process. Threads that start meanwhile never take these signals.
// To be called first in main().
void hold_signals();

// Lets the signals come that were held back. To be called when their handlers are set.
void release_signals();

} // namespace azureshore::daemon
