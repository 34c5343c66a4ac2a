// Signals are blocked in all threads and received synchronously with sigwait(), so
// that no code runs in a signal handler.
#include "bluebellshift/standin/stopsignal.h"

#include <pthread.h>

#include <csignal>

namespace bluebellshift::standin {

namespace {

sigset_t stopSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGTERM);
    return set;
}

} // namespace

void blockStopSignals()
{
    sigset_t set = stopSignals();
    sigaddset(&set, SIGPIPE);
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void waitForStopSignal()
{
    const sigset_t set = stopSignals();
    int signal = 0;
    sigwait(&set, &signal);
}

} // namespace bluebellshift::standin
