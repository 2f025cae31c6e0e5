#include "modules/balance/endpoint_health.h"

#include <algorithm>

namespace Onyxnotch {

EndpointHealth::EndpointHealth(const EndpointHealthOptions& options)
    : m_options(options)
    , m_nextExclusion(options.firstExclusion)
    , m_nextPause(options.firstPause)
{
}

void EndpointHealth::onSuccess()
{
    m_requests = m_requests * m_options.decayPerRequest + 1;
    m_failures *= m_options.decayPerRequest;
    m_unreachable = 0;
    m_nextPause = m_options.firstPause;
    // Once few recent failures remain, the next exclusion is as short as the first again.
    if (m_failures < 1)
        m_nextExclusion = m_options.firstExclusion;
}

void EndpointHealth::onFailure(SteadyTime now)
{
    m_requests = m_requests * m_options.decayPerRequest + 1;
    m_failures = m_failures * m_options.decayPerRequest + 1;
    bool hasEnoughRequests = m_requests >= m_options.minimumRequests;
    if (hasEnoughRequests && m_failures > m_options.maximumFailureFraction * m_requests)
        exclude(now);
}

void EndpointHealth::onUnreachable(SteadyTime now)
{
    if (++m_unreachable >= m_options.unreachableLimit)
        exclude(now);
}

void EndpointHealth::onRequestRefused(SteadyTime now)
{
    m_excludedUntil = std::max(m_excludedUntil, now + m_nextPause);
    m_nextPause = std::min(m_nextPause * 2, m_options.longestPause);
}

void EndpointHealth::exclude(SteadyTime now)
{
    m_excludedUntil = now + m_nextExclusion;
    m_nextExclusion = std::min(m_nextExclusion * 2, m_options.longestExclusion);
    // After the exclusion a single failure is enough to exclude the endpoint again.
    m_requests = m_options.minimumRequests - 1;
    m_failures = m_options.maximumFailureFraction * m_requests;
    m_unreachable = m_options.unreachableLimit - 1;
}

} // namespace Onyxnotch
