// The largest of the values of the last while. Pure, with the time passed in.
#pragma once

#include "core/clock.h"
#include <deque>

namespace Onyxnotch {

class SlidingMaximum {
public:
    // Takes a value, and returns the largest since `now - memory`.
    unsigned take(unsigned value, SteadyTime now, Milliseconds memory)
    {
        while (!m_falling.empty() && m_falling.back().value <= value)
            m_falling.pop_back();
        m_falling.push_back({ .at = now, .value = value });
        while (now - m_falling.front().at > memory)
            m_falling.pop_front();
        return m_falling.front().value;
    }

private:
    struct Entry {
        SteadyTime at {};
        unsigned value { 0 };
    };

    std::deque<Entry> m_falling {}; // Each is smaller than the one before it.
};

} // namespace Onyxnotch
