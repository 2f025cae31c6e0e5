// Time as a value that is passed in, so that decision code stays pure and tests choose the time.
#pragma once

#include <chrono>
#include <cstdint>

namespace Onyxnotch {

using Milliseconds = std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

// The monotonic clock of this process. It keeps running while the process is paused.
inline SteadyTime steadyNow() { return std::chrono::steady_clock::now(); }

// Milliseconds since the Unix epoch, for values that leave the process. Never used to judge a lease.
inline std::uint64_t wallMilliseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
}

inline Milliseconds toMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

} // namespace Onyxnotch
