#include "servers/membership/leaving_marks.h"

#include <algorithm>

namespace Onyxnotch {

LeavingMark joinMarks(const LeavingMark& left, const LeavingMark& right)
{
    auto joined = left;
    auto earlier = std::min(left.deadlineWallMilliseconds, right.deadlineWallMilliseconds);
    auto later = std::max(left.deadlineWallMilliseconds, right.deadlineWallMilliseconds);
    // 0 stands for a deadline that is not known.
    joined.deadlineWallMilliseconds = earlier != 0 ? earlier : later;
    joined.source = std::min(left.source, right.source);
    return joined;
}

LeavingMarks::LeavingMarks(std::size_t maximumMarks)
    : m_maximumMarks(maximumMarks)
{
}

std::optional<LeavingMark> LeavingMarks::add(const LeavingMark& mark)
{
    auto it = m_marks.find(mark.endpoint);
    if (it != m_marks.end()) {
        auto joined = joinMarks(it->second, mark);
        if (joined == it->second)
            return std::nullopt;
        it->second = joined;
        return joined;
    }
    if (m_marks.size() >= m_maximumMarks) {
        m_marks.erase(m_order.front());
        m_order.pop_front();
    }
    m_marks.emplace(mark.endpoint, mark);
    m_order.push_back(mark.endpoint);
    return mark;
}

} // namespace Onyxnotch
