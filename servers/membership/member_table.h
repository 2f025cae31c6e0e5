// Table of all members as one node sees them: applies membership updates and the results of probes. Does no I/O; the time is passed in.
// Not thread-safe.
#pragma once

#include "core/clock.h"
#include "servers/membership/member.h"
#include <map>
#include <optional>
#include <vector>

namespace Onyxnotch {

struct MemberTableOptions {
    Milliseconds suspicionTime { 3000 }; // From the failed probe to the change from suspect to dead.
    Milliseconds deadRetention { 600000 }; // How long a dead member stays in the table, so that outdated updates about it are recognised.
    std::size_t maximumMembers { 4096 };
};

class MemberTable {
public:
    MemberTable(const Member& self, const MemberTableOptions&);

    // Applies an update about a member. Returns whether it changed the table; if so, it should be passed on to other nodes.
    // An update that this node itself is suspect or dead is refuted by raising this node's revision.
    bool apply(const Member&, SteadyTime now);
    // Marks an alive member as suspect, after direct and indirect probes failed. Returns whether its state changed.
    bool suspect(const std::string& node, SteadyTime now);
    // Marks a suspect as alive again, after it answered a probe directly or through another node. Returns whether its state changed.
    bool confirm(const std::string& node, std::uint64_t incarnation, SteadyTime now);
    // Marks suspects as dead after the suspicion time and returns them. Removes dead members after their retention time.
    std::vector<Member> expire(SteadyTime now);
    // Changes this node's own description and raises its revision.
    void setLeaving(bool);

    const Member& self() const { return m_self; }
    // Returns this node's own description and all other members, including dead ones.
    std::vector<Member> members() const;
    std::optional<Member> find(const std::string& node) const;

private:
    struct Entry {
        Member member {};
        SteadyTime stateSince {}; // When the member entered its current state.
    };

    static bool supersedes(const Member& update, const Member& current);

    Member m_self {};
    MemberTableOptions m_options {};
    std::map<std::string, Entry> m_entries {};
};

} // namespace Onyxnotch
