#include "modules/limits/endpoint_limits.h"

#include <algorithm>

namespace Onyxnotch {

bool EndpointLimits::onAdvertisedLimit(const AdvertisedLimit& word, SteadyTime now)
{
    if (!m_limits.update(word))
        return false;
    m_credits.setLimit(word.endpoint, m_limits.perSecond(word.endpoint), now);
    return true;
}

bool EndpointLimits::onPeerUpdate(const LimitUpdate& message, std::uint64_t fleetMilliseconds, SteadyTime now)
{
    bool hasChanged = false;
    for (const auto& it : message.limits) {
        bool isFromFuture = std::max(it.receivedAt, it.sentAt) > fleetMilliseconds + m_options.maxClockLeadMilliseconds;
        hasChanged = (!isFromFuture && onAdvertisedLimit(it, now)) || hasChanged;
    }
    m_credits.onPeerUses(message.node, message.lifetime, message.uses, now);
    return hasChanged;
}

SteadyTime EndpointLimits::creditAt(const EndpointIncarnation& life, SteadyTime now) const
{
    if (!isLimited(life))
        return now;
    if (m_grantsCredits)
        return m_credits.nextCreditAt(life, now);
    auto it = m_deniedUntil.find(life);
    return it == m_deniedUntil.end() ? now : std::max(now, it->second);
}

void EndpointLimits::purgeExpired(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointIncarnation&)>& isUsed, SteadyTime now)
{
    for (const auto& it : m_limits.removeExpired(fleetMilliseconds, isUsed))
        m_credits.forget(it);
    std::erase_if(m_deniedUntil, [now](const auto& it) { return it.second <= now; });
}

} // namespace Onyxnotch
