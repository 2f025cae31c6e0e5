// Clock and time types. Decision code takes the current time as a parameter, so that it stays free of side effects and tests can choose
// the time.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>

namespace Onyxnotch {

using Milliseconds = std::chrono::milliseconds;

// Monotonic clock that also advances while the instance (the machine) is suspended. std::chrono::steady_clock stops during a suspension:
// with it, the computed ages of endpoint lists, peer state and leases would be too low by the duration of the suspension, and a lease
// that another node has acquired in the meantime would still be considered held.
struct InstanceClock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<InstanceClock>;
    // The standard library requires this name.
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept { return time_point(read(CLOCK_BOOTTIME) + duration(testOffset.load(std::memory_order_relaxed))); }

    // Total time the instance has spent suspended, plus a constant offset. Only differences between two calls are meaningful.
    static duration suspended() noexcept { return now().time_since_epoch() - read(CLOCK_MONOTONIC); }

    // Advances this process's clock, as a suspension of the instance does. For tests only.
    static void advanceForTest(duration by) { testOffset += by.count(); }

private:
    static duration read(clockid_t clock) noexcept
    {
        timespec time {};
        // Cannot fail: Linux kernels since 2.6.39 have both clocks.
        clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }

    static inline std::atomic<rep> testOffset { 0 };
};

using SteadyTime = InstanceClock::time_point;

// Current time of InstanceClock. The clock keeps running while the process is paused or the instance is suspended.
inline SteadyTime steadyNow() { return InstanceClock::now(); }

// Milliseconds since the Unix epoch, for timestamps that leave the process. Must not be used to decide whether a lease is valid.
inline std::uint64_t wallMilliseconds()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(sinceEpoch).count());
}

inline Milliseconds toMilliseconds(SteadyTime::duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration);
}

// A time by the steady clock in milliseconds since the clock's origin, which is different on each instance.
inline std::int64_t steadyMilliseconds(SteadyTime at) { return toMilliseconds(at.time_since_epoch()).count(); }

} // namespace Onyxnotch
