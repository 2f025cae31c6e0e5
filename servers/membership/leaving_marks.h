// Set of endpoints known to be leaving (shutting down), one mark per endpoint. Does no I/O.
// Marks are merged, so the result does not depend on the order or repetition of updates.
#pragma once

#include "servers/membership/member.h"
#include <deque>
#include <map>
#include <optional>

namespace Onyxnotch {

// Merges two marks of one endpoint: takes the earliest known deadline, and the source that comes first in LeavingSource.
LeavingMark mergeMarks(const LeavingMark&, const LeavingMark&);

class LeavingMarks {
public:
    explicit LeavingMarks(std::size_t maximumMarks = 65536);

    // Adds or merges a mark. Returns the resulting mark if it changed, otherwise nothing. If the set is full, the oldest mark is dropped,
    // because its instance is the most likely to have ended.
    std::optional<LeavingMark> add(const LeavingMark&);
    bool contains(const std::string& endpoint) const { return m_marks.contains(endpoint); }
    const std::map<std::string, LeavingMark>& marks() const { return m_marks; }

private:
    std::size_t m_maximumMarks;
    std::map<std::string, LeavingMark> m_marks {};
    std::deque<std::string> m_insertionOrder {}; // Endpoints, oldest mark first.
};

} // namespace Onyxnotch
