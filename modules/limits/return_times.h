// When callers may come back that were refused for want of what endpoints take: one after the other, at the rate at which they can be
// served, instead of all in the same moment.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

struct ReturnTimesOptions {
    // Nobody is told a longer time: callers that find others ahead of them may leave, and what is taken may grow.
    Milliseconds longest { 10000 };
};

class ReturnTimes {
public:
    explicit ReturnTimes(const ReturnTimesOptions& options = {})
        : m_options(options)
    {
    }

    // For the next caller of the service: not before `earliest`, and so many a second from this node. Over the longest time the callers
    // are spread anew.
    Milliseconds next(const std::string& service, SteadyTime earliest, double perSecond, SteadyTime now)
    {
        auto& free = m_free[service];
        if (free > now + m_options.longest)
            free = now;
        auto returnAt = std::max({ free, earliest, now });
        auto apart = std::min<std::chrono::duration<double>>(std::chrono::duration<double>(1 / std::max(perSecond, leastPerSecond)), m_options.longest);
        free = returnAt + std::chrono::duration_cast<SteadyTime::duration>(apart);
        return std::min(m_options.longest, std::chrono::ceil<Milliseconds>(returnAt - now));
    }

private:
    static constexpr double leastPerSecond = 0.01;

    ReturnTimesOptions m_options;
    std::map<std::string, SteadyTime> m_free {}; // By service: when the next one may come.
};

} // namespace Onyxnotch
