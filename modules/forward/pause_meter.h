// Measures the time between the events of one stream, as means over short intervals, and the longest pause of the request.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <cstdint>
#include <optional>

namespace Onyxnotch {

class PauseMeter {
public:
    // Starts another attempt. The longest pause includes the time between two attempts, since the client waits for it, but no mean does.
    void onAttempt()
    {
        m_isFirstOfAttempt = true;
        m_seconds = 0;
        m_events = 0;
    }

    // `isExplained`: something else than the endpoint's speed contributed to the time since the previous events, e.g. a slow client.
    void onEvents(std::uint64_t events, bool isExplained, SteadyTime now)
    {
        auto pause = now - m_lastAt;
        if (m_lastAt != SteadyTime {})
            m_longest = std::max(m_longest, toMilliseconds(pause));
        if (!m_isFirstOfAttempt && !isExplained) {
            m_seconds += std::chrono::duration<double>(pause).count();
            m_events += events;
        }
        m_isFirstOfAttempt = false;
        m_lastAt = now;
    }

    // The mean time between events since the last mean; empty until they cover 0.15 s.
    std::optional<double> takeMean()
    {
        // Single pauses vary too much. Shorter than half of the shortest slowdown that matters (0.5 s), so that two means detect it.
        constexpr double intervalSeconds = 0.15;
        if (m_seconds < intervalSeconds || m_events == 0)
            return std::nullopt;
        auto mean = m_seconds / static_cast<double>(m_events);
        m_seconds = 0;
        m_events = 0;
        return mean;
    }

    Milliseconds longest() const { return m_longest; }

private:
    SteadyTime m_lastAt {}; // When the last events were received.
    bool m_isFirstOfAttempt { true };
    // Since the last mean.
    double m_seconds { 0 };
    std::uint64_t m_events { 0 };
    Milliseconds m_longest { 0 };
};

} // namespace Onyxnotch
