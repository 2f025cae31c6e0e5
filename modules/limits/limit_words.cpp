#include "modules/limits/limit_words.h"

#include <algorithm>

namespace Onyxnotch {

LimitWord joinWords(const LimitWord& left, const LimitWord& right)
{
    if (left.sentAt > right.heardAt)
        return left;
    if (right.sentAt > left.heardAt)
        return right;
    if (left.perSecond != right.perSecond)
        return left.perSecond < right.perSecond ? left : right;
    auto joined = left;
    joined.sentAt = std::max(left.sentAt, right.sentAt);
    joined.heardAt = std::max(left.heardAt, right.heardAt);
    return joined;
}

bool LimitWords::hear(const LimitWord& word)
{
    if (!word.isSound())
        return false;
    auto it = m_words.find(word.endpoint);
    if (it != m_words.end()) {
        auto before = it->second.perSecond;
        it->second = joinWords(it->second, word);
        return it->second.perSecond != before;
    }
    // That nothing is named says nothing new of an endpoint that never named anything.
    if (!word.isLimited() || m_words.size() >= m_options.most)
        return false;
    m_words.emplace(word.endpoint, word);
    return true;
}

std::optional<double> LimitWords::perSecond(const EndpointLife& life) const
{
    auto it = m_words.find(life);
    return it != m_words.end() && it->second.isLimited() ? std::optional(it->second.perSecond) : std::nullopt;
}

std::size_t LimitWords::limited() const
{
    return static_cast<std::size_t>(std::count_if(m_words.begin(), m_words.end(), [](const auto& it) { return it.second.isLimited(); }));
}

std::optional<LimitWord> LimitWords::find(const EndpointLife& life) const
{
    auto it = m_words.find(life);
    return it == m_words.end() ? std::nullopt : std::optional(it->second);
}

std::vector<LimitWord> LimitWords::takeTold(std::size_t most)
{
    std::vector<LimitWord> told;
    auto it = m_words.upper_bound(m_lastTold);
    for (std::size_t n = 0; n < std::min(most, m_words.size()); ++n, ++it) {
        if (it == m_words.end())
            it = m_words.begin();
        told.push_back(it->second);
        m_lastTold = it->first;
    }
    return told;
}

std::vector<EndpointLife> LimitWords::forgetOld(std::uint64_t nowMilliseconds, const std::function<bool(const EndpointLife&)>& isUsed)
{
    std::vector<EndpointLife> forgotten;
    for (const auto& [life, word] : m_words) {
        bool isOld = nowMilliseconds > word.heardAt + m_options.keptMilliseconds;
        if (isOld && (!word.isLimited() || !isUsed(life)))
            forgotten.push_back(life);
    }
    for (const auto& it : forgotten)
        m_words.erase(it);
    return forgotten;
}

} // namespace Onyxnotch
