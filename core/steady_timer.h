// The timer of everything that waits: it goes by the clock that counts a suspension of the instance.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <asio/awaitable.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace detail {

    // The kernel's timers stand still while the instance is suspended. So none is asked for more than this at once, and what should have
    // ended meanwhile ends that soon after the resume: as soon as a node tells the others of itself.
    struct SteadyWaitTraits {
        static constexpr Milliseconds longest { 250 };

        // The names are Asio's.
        // NOLINTBEGIN(readability-identifier-naming)
        static InstanceClock::duration to_wait_duration(const InstanceClock::duration& duration) { return std::min<InstanceClock::duration>(duration, longest); }
        static InstanceClock::duration to_wait_duration(const SteadyTime& time) { return to_wait_duration(time - steadyNow()); }
        // NOLINTEND(readability-identifier-naming)
    };

} // namespace detail

using SteadyTimer = asio::basic_waitable_timer<InstanceClock, detail::SteadyWaitTraits>;

// Returns after that time, or when the context is stopped.
inline asio::awaitable<void> sleepFor(asio::io_context& context, Milliseconds duration)
{
    SteadyTimer timer(context);
    timer.expires_after(duration);
    asio::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace Onyxnotch
