// Requests that began to run, counted by team and by window of true time, for the usage reports.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Onyxnotch {

using TeamCounts = std::map<std::string, std::uint64_t>;
using WindowCounts = std::map<std::uint64_t, TeamCounts>; // By the window's number.

class UsageLedger {
public:
    explicit UsageLedger(std::uint64_t windowMilliseconds)
        : m_windowMilliseconds(windowMilliseconds)
    {
    }

    void count(const std::string& team, std::uint64_t trueMilliseconds)
    {
        ++m_windows[trueMilliseconds / m_windowMilliseconds][team];
        while (m_windows.size() > keptWindows)
            m_windows.erase(m_windows.begin());
    }
    const WindowCounts& windows() const { return m_windows; }
    // Those that had not ended at this time.
    WindowCounts openSince(std::uint64_t trueMilliseconds) const { return { m_windows.lower_bound(trueMilliseconds / m_windowMilliseconds), m_windows.end() }; }

private:
    // A report is due two windows after its window has ended; a few more cover a store that is away.
    static constexpr std::size_t keptWindows = 6;

    std::uint64_t m_windowMilliseconds;
    WindowCounts m_windows {};
};

} // namespace Onyxnotch
