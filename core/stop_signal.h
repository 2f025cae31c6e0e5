// SIGTERM and SIGINT as a value to wait for.
#pragma once

#include "core/clock.h"

namespace Onyxnotch {

// Construct it before any thread starts: it blocks both signals for the whole process. One object a process.
class StopSignal {
public:
    StopSignal();

    // Blocks until a signal arrives.
    void wait();
    // Returns true where a signal arrived within `limit`.
    bool waitFor(Milliseconds limit);
};

} // namespace Onyxnotch
