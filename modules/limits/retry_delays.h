// Calculates when clients may retry whose requests were refused because the endpoints have no capacity: one after the other, at the rate
// at which the requests can be served, instead of all at the same moment. Not thread-safe.
#pragma once

#include "core/clock.h"
#include <algorithm>
#include <map>
#include <string>

namespace Onyxnotch {

struct RetryDelaysOptions {
    // Upper bound of the returned delay: clients that are scheduled earlier may not retry, and the capacity may grow.
    Milliseconds maxDelay { 10000 };
};

class RetryDelays {
public:
    explicit RetryDelays(const RetryDelaysOptions& options = {})
        : m_options(options)
    {
    }

    // Returns the delay after which the next refused client of the service may retry: not before `earliest`, and with `perSecond` clients
    // per second at this node. Once the schedule exceeds the maximum delay, it starts again from `now`.
    Milliseconds next(const std::string& service, SteadyTime earliest, double perSecond, SteadyTime now)
    {
        auto& nextReturnAt = m_nextReturnAt[service];
        if (nextReturnAt > now + m_options.maxDelay)
            nextReturnAt = now;
        auto returnAt = std::max({ nextReturnAt, earliest, now });
        auto interval = std::min<std::chrono::duration<double>>(std::chrono::duration<double>(1 / std::max(perSecond, minReturnsPerSecond)), m_options.maxDelay);
        nextReturnAt = returnAt + std::chrono::duration_cast<SteadyTime::duration>(interval);
        return std::min(m_options.maxDelay, std::chrono::ceil<Milliseconds>(returnAt - now));
    }

private:
    static constexpr double minReturnsPerSecond = 0.01;

    RetryDelaysOptions m_options;
    std::map<std::string, SteadyTime> m_nextReturnAt {}; // Earliest retry time of the next client, by service.
};

} // namespace Onyxnotch
