// Converts the times that another node states by its steady clock. Steady clocks have no common origin, but they are not set like the time
// of day, so an age that is passed on from node to node stays right while operators or time servers change the clocks.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <cstdint>

namespace Onyxnotch {

// Two readings of clocks at about the same moment: this node's, when it sent a request, and the other node's, when it answered. Times are
// converted as if the answer had been made when the request was sent: too early by the time that the request took, so that an age is
// never too small.
struct PeerClock {
    SteadyTime requestedAt {};
    std::int64_t peerMilliseconds { 0 }; // By the other node, see steadyMilliseconds().

    bool operator==(const PeerClock&) const = default;

    // A time after the answer counts as the time of the answer.
    SteadyTime toLocal(std::int64_t milliseconds) const
    {
        auto age = milliseconds < peerMilliseconds ? static_cast<std::uint64_t>(peerMilliseconds) - static_cast<std::uint64_t>(milliseconds) : 0;
        return requestedAt - Milliseconds(std::min(age, maximumAge));
    }

    // A time in the future, at most `latest` after the request.
    SteadyTime toLocalDeadline(std::int64_t milliseconds, Milliseconds latest) const
    {
        auto left = milliseconds > peerMilliseconds ? static_cast<std::uint64_t>(milliseconds) - static_cast<std::uint64_t>(peerMilliseconds) : 0;
        return requestedAt + Milliseconds(std::min(left, static_cast<std::uint64_t>(latest.count())));
    }

private:
    static constexpr std::uint64_t maximumAge = 86'400'000; // Milliseconds, a day. Older changes need no exact age.
};

} // namespace Onyxnotch
