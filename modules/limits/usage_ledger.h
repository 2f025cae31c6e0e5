// Counts the requests that began to run on this node, by team and by time window, for the usage reports. Windows are aligned to the
// fleet's synchronized clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Onyxnotch {

using TeamCounts = std::map<std::string, std::uint64_t>;
using WindowCounts = std::map<std::uint64_t, TeamCounts>; // Keyed by window number: time divided by the window's length.

class UsageLedger {
public:
    explicit UsageLedger(std::uint64_t windowMilliseconds)
        : m_windowMilliseconds(windowMilliseconds)
    {
    }

    void count(const std::string& team, std::uint64_t fleetTimeMilliseconds)
    {
        ++m_windows[fleetTimeMilliseconds / m_windowMilliseconds][team];
        while (m_windows.size() > keptWindows)
            m_windows.erase(m_windows.begin());
    }
    const WindowCounts& windows() const { return m_windows; }
    // Returns the windows that had not ended at this time.
    WindowCounts openSince(std::uint64_t fleetTimeMilliseconds) const { return { m_windows.lower_bound(fleetTimeMilliseconds / m_windowMilliseconds), m_windows.end() }; }

private:
    // A report is due two windows after the end of its window; the other windows cover times at which the store is unreachable.
    static constexpr std::size_t keptWindows = 6;

    std::uint64_t m_windowMilliseconds;
    WindowCounts m_windows {};
};

} // namespace Onyxnotch
