// Waits synchronously for SIGTERM or SIGINT.
#pragma once

#include "core/clock.h"

namespace Onyxnotch {

// Blocks SIGTERM and SIGINT for the calling thread and all threads started later, and ignores SIGPIPE. Construct a single instance per
// process, before any thread is started.
class StopSignal {
public:
    StopSignal();

    // Blocks until one of the signals is received.
    void wait();
    // Returns true if a signal is received within `limit`.
    bool waitFor(Milliseconds limit);
};

} // namespace Onyxnotch
