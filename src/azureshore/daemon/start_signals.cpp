#include "azureshore/daemon/start_signals.hpp"

#include <csignal>
#include <initializer_list>

namespace azureshore::daemon {

namespace {

void change_mask(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    for (const int each : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&handled, each);
    }
    pthread_sigmask(how, &handled, nullptr);
}

} // namespace

void hold_signals()
{
    change_mask(SIG_BLOCK);
}

void release_signals()
{
    change_mask(SIG_UNBLOCK);
}

} // namespace azureshore::daemon
