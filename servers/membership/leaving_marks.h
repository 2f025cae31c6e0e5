// The endpoints that are known to be leaving: a pure state machine. Marks only ever say more, whatever order they come in.
#pragma once

#include "servers/membership/member.h"
#include <deque>
#include <map>
#include <optional>

namespace Onyxnotch {

// Joins two marks of one endpoint: the earliest deadline that is known, and the source that comes first in LeavingSource.
LeavingMark joinMarks(const LeavingMark&, const LeavingMark&);

class LeavingMarks {
public:
    explicit LeavingMarks(std::size_t maximumMarks = 65536);

    // Returns the mark as it stands now where this one said something new. At the limit the mark that came first is dropped: its
    // instance is the one most likely to be gone.
    std::optional<LeavingMark> add(const LeavingMark&);
    bool contains(const std::string& endpoint) const { return m_marks.contains(endpoint); }
    const std::map<std::string, LeavingMark>& marks() const { return m_marks; }

private:
    std::size_t m_maximumMarks;
    std::map<std::string, LeavingMark> m_marks {};
    std::deque<std::string> m_order {}; // As they came.
};

} // namespace Onyxnotch
