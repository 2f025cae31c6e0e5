#include "modules/limits/advertised_limits.h"

#include <algorithm>

namespace Onyxnotch {

AdvertisedLimit mergeLimits(const AdvertisedLimit& left, const AdvertisedLimit& right)
{
    if (left.sentAt > right.receivedAt)
        return left;
    if (right.sentAt > left.receivedAt)
        return right;
    if (left.perSecond != right.perSecond)
        return left.perSecond < right.perSecond ? left : right;
    auto merged = left;
    merged.sentAt = std::max(left.sentAt, right.sentAt);
    merged.receivedAt = std::max(left.receivedAt, right.receivedAt);
    return merged;
}

bool AdvertisedLimits::update(const AdvertisedLimit& limit)
{
    if (!limit.isSound())
        return false;
    auto it = m_limits.find(limit.endpoint);
    if (it != m_limits.end()) {
        auto before = it->second.perSecond;
        it->second = mergeLimits(it->second, limit);
        return it->second.perSecond != before;
    }
    // Without a known limit, an answer that advertises none changes nothing.
    if (!limit.isLimited() || m_limits.size() >= m_options.most)
        return false;
    m_limits.emplace(limit.endpoint, limit);
    return true;
}

std::optional<double> AdvertisedLimits::perSecond(const EndpointIncarnation& life) const
{
    auto it = m_limits.find(life);
    return it != m_limits.end() && it->second.isLimited() ? std::optional(it->second.perSecond) : std::nullopt;
}

std::size_t AdvertisedLimits::limitedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_limits.begin(), m_limits.end(), [](const auto& it) { return it.second.isLimited(); }));
}

std::optional<AdvertisedLimit> AdvertisedLimits::find(const EndpointIncarnation& life) const
{
    auto it = m_limits.find(life);
    return it == m_limits.end() ? std::nullopt : std::optional(it->second);
}

std::vector<AdvertisedLimit> AdvertisedLimits::nextToSend(std::size_t maxCount)
{
    std::vector<AdvertisedLimit> entries;
    auto it = m_limits.upper_bound(m_lastSent);
    for (std::size_t n = 0; n < std::min(maxCount, m_limits.size()); ++n, ++it) {
        if (it == m_limits.end())
            it = m_limits.begin();
        entries.push_back(it->second);
        m_lastSent = it->first;
    }
    return entries;
}

std::vector<EndpointIncarnation> AdvertisedLimits::removeExpired(std::uint64_t fleetMilliseconds, const std::function<bool(const EndpointIncarnation&)>& isUsed)
{
    std::vector<EndpointIncarnation> removed;
    for (const auto& [life, limit] : m_limits) {
        bool isExpired = fleetMilliseconds > limit.receivedAt + m_options.retentionMilliseconds;
        if (isExpired && (!limit.isLimited() || !isUsed(life)))
            removed.push_back(life);
    }
    for (const auto& it : removed)
        m_limits.erase(it);
    return removed;
}

} // namespace Onyxnotch
