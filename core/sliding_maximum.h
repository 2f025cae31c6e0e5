// Sliding-window maximum: the largest value observed within a time window. The current time is passed in by the caller.
#pragma once

#include "core/clock.h"
#include <deque>

namespace Onyxnotch {

class SlidingMaximum {
public:
    // Adds a value observed at `now` and returns the largest value observed since `now - window`. `now` must not decrease between calls.
    unsigned take(unsigned value, SteadyTime now, Milliseconds window)
    {
        while (!m_decreasing.empty() && m_decreasing.back().value <= value)
            m_decreasing.pop_back();
        m_decreasing.push_back({ .at = now, .value = value });
        while (now - m_decreasing.front().at > window)
            m_decreasing.pop_front();
        return m_decreasing.front().value;
    }

private:
    struct Entry {
        SteadyTime at {};
        unsigned value { 0 };
    };

    std::deque<Entry> m_decreasing {}; // Oldest first; values strictly decreasing.
};

} // namespace Onyxnotch
