#include "servers/membership/leaving_marks.h"

#include <algorithm>

namespace Onyxnotch {

LeavingMark mergeMarks(const LeavingMark& left, const LeavingMark& right)
{
    auto merged = left;
    auto earlier = std::min(left.deadlineWallMilliseconds, right.deadlineWallMilliseconds);
    auto later = std::max(left.deadlineWallMilliseconds, right.deadlineWallMilliseconds);
    // A deadline of 0 means unknown.
    merged.deadlineWallMilliseconds = earlier != 0 ? earlier : later;
    merged.source = std::min(left.source, right.source);
    return merged;
}

LeavingMarks::LeavingMarks(std::size_t maximumMarks)
    : m_maximumMarks(maximumMarks)
{
}

std::optional<LeavingMark> LeavingMarks::add(const LeavingMark& mark)
{
    auto it = m_marks.find(mark.endpoint);
    if (it != m_marks.end()) {
        auto merged = mergeMarks(it->second, mark);
        if (merged == it->second)
            return std::nullopt;
        it->second = merged;
        return merged;
    }
    if (m_marks.size() >= m_maximumMarks) {
        m_marks.erase(m_insertionOrder.front());
        m_insertionOrder.pop_front();
    }
    m_marks.emplace(mark.endpoint, mark);
    m_insertionOrder.push_back(mark.endpoint);
    return mark;
}

} // namespace Onyxnotch
