#include "core/stop_signal.h"

#include <cerrno>
#include <csignal>

namespace Onyxnotch {

namespace {

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

StopSignal::StopSignal()
{
    auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // Writing to a socket that the peer has closed must not terminate the process.
    struct sigaction ignore { };
    ignore.sa_handler = SIG_IGN;
    sigaction(SIGPIPE, &ignore, nullptr);
}

void StopSignal::wait()
{
    auto signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

bool StopSignal::waitFor(Milliseconds limit)
{
    auto signals = stopSignals();
    timespec timeout { .tv_sec = limit.count() / 1000, .tv_nsec = (limit.count() % 1000) * 1000000 };
    return sigtimedwait(&signals, nullptr, &timeout) > 0;
}

} // namespace Onyxnotch
