// Asio timer based on InstanceClock, which keeps running while the instance (the machine) is suspended.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <asio/awaitable.hpp>
#include <asio/basic_waitable_timer.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace detail {

    // Kernel timers stop while the instance is suspended. Waits are therefore split into kernel waits of at most `maximumWait`, so that a
    // timer that expired during a suspension fires at most this long after the resume. 250 ms is also the interval at which a node
    // publishes its state to its peers.
    struct SteadyWaitTraits {
        static constexpr Milliseconds maximumWait { 250 };

        // Asio requires these names.
        // NOLINTBEGIN(readability-identifier-naming)
        static InstanceClock::duration to_wait_duration(const InstanceClock::duration& duration) { return std::min<InstanceClock::duration>(duration, maximumWait); }
        static InstanceClock::duration to_wait_duration(const SteadyTime& time) { return to_wait_duration(time - steadyNow()); }
        // NOLINTEND(readability-identifier-naming)
    };

} // namespace detail

using SteadyTimer = asio::basic_waitable_timer<InstanceClock, detail::SteadyWaitTraits>;

// Completes after `duration`, or earlier if the wait fails.
inline asio::awaitable<void> sleepFor(asio::io_context& context, Milliseconds duration)
{
    SteadyTimer timer(context);
    timer.expires_after(duration);
    asio::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace Onyxnotch
