#include "modules/limits/endpoint_limits.h"

#include <algorithm>

namespace Onyxnotch {

bool EndpointLimits::hear(const LimitWord& word, SteadyTime now)
{
    if (!m_words.hear(word))
        return false;
    m_credits.setLimit(word.endpoint, m_words.perSecond(word.endpoint), now);
    return true;
}

bool EndpointLimits::onNews(const LimitNews& news, std::uint64_t fleetMilliseconds, SteadyTime now)
{
    bool changed = false;
    for (const auto& it : news.words) {
        bool isAhead = std::max(it.heardAt, it.sentAt) > fleetMilliseconds + m_options.aheadMilliseconds;
        changed = (!isAhead && hear(it, now)) || changed;
    }
    m_credits.onUses(news.node, news.lifetime, news.uses, now);
    return changed;
}

SteadyTime EndpointLimits::creditAt(const EndpointLife& life, SteadyTime now) const
{
    if (!isLimited(life))
        return now;
    if (m_givesCredits)
        return m_credits.nextAt(life, now);
    auto it = m_deniedUntil.find(life);
    return it == m_deniedUntil.end() ? now : std::max(now, it->second);
}

void EndpointLimits::forgetOld(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointLife&)>& isUsed, SteadyTime now)
{
    for (const auto& it : m_words.forgetOld(fleetMilliseconds, isUsed))
        m_credits.forget(it);
    std::erase_if(m_deniedUntil, [now](const auto& it) { return it.second <= now; });
}

} // namespace Onyxnotch
