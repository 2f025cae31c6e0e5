// Backoffs that endpoints requested from this node when they refused a request (Retry-After), by endpoint incarnation. Stored apart from
// the endpoint list, so that an endpoint which disappears from the list and returns is still in backoff. Not shared with other nodes,
// because the endpoint requested the backoff from this node only.
#pragma once

#include "core/clock.h"
#include "modules/traffic/endpoint_incarnation.h"
#include <algorithm>
#include <map>

namespace Onyxnotch {

class EndpointBackoffs {
public:
    // Starts a backoff of length `backoff` for the endpoint. If one is already running, the later end applies.
    void start(const EndpointIncarnation& life, Milliseconds backoff, SteadyTime now)
    {
        std::erase_if(m_ends, [now](const auto& it) { return it.second <= now; });
        if (backoff.count() <= 0)
            return;
        auto& end = m_ends[life];
        end = std::max(end, now + backoff);
    }

    bool isInBackoff(const EndpointIncarnation& life, SteadyTime now) const { return endOf(life) > now; }

    // End of the endpoint's backoff; a default-constructed time if it has none.
    SteadyTime endOf(const EndpointIncarnation& life) const
    {
        auto it = m_ends.find(life);
        return it == m_ends.end() ? SteadyTime {} : it->second;
    }

    std::size_t count(SteadyTime now) const
    {
        return static_cast<std::size_t>(std::count_if(m_ends.begin(), m_ends.end(), [now](const auto& it) { return it.second > now; }));
    }

private:
    std::map<EndpointIncarnation, SteadyTime> m_ends {};
};

} // namespace Onyxnotch
