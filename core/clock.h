// Time as a value that is passed in, so that decision code stays pure and tests choose the time.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace Onyxnotch {

using Milliseconds = std::chrono::milliseconds;

// Never goes back, and counts the time for which the instance was suspended. The usual steady clock stands still meanwhile: ages of
// lists, of peers' rows and of leases would come out too young by as much, and a lease that another node has taken since would still
// count as held.
struct InstanceClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<InstanceClock>;
    // The name is the standard library's.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept { return time_point(read(CLOCK_BOOTTIME) + duration(leap.load(std::memory_order_relaxed))); }

    // For how long the instance has been suspended since it started. Of use only by its growth.
    static duration suspended() noexcept { return now().time_since_epoch() - read(CLOCK_MONOTONIC); }

    // Makes this process's clock leap ahead, as a suspension does. For tests.
    static void leapAhead(duration by) { leap += by.count(); }

private:
    static duration read(clockid_t clock) noexcept
    {
        timespec time {};
        // Fails on no kernel that has the clock, and every one since 2.6.39 has both.
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    static inline std::atomic<rep> leap { 0 };
};

using SteadyTime = InstanceClock::time_point;

// The time of this process's instance. It keeps running while the process is paused or the instance is suspended.
inline SteadyTime steadyNow() { return InstanceClock::now(); }

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
