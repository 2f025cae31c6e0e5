// What one node knows of all nodes: a pure state machine, with the time passed in.
#pragma once

#include "core/clock.h"
#include "servers/membership/member.h"
#include <map>
#include <optional>
#include <vector>

namespace Onyxnotch {

struct MemberTableOptions {
    Milliseconds suspicionTime { 3000 }; // From the first failed probe to the verdict.
    Milliseconds forgetTime { 600000 }; // A dead member is remembered this long, so that old news of it is known to be old.
    std::size_t maximumMembers { 4096 };
};

class MemberTable {
public:
    MemberTable(const Member& self, const MemberTableOptions&);

    // Takes news of a member. Returns whether it changed the table, so that it is worth passing on.
    // News that this node itself is suspect or dead is refuted by a higher revision of its own.
    bool apply(const Member&, SteadyTime now);
    // A probe of it and the indirect ones failed.
    bool suspect(const std::string& node, SteadyTime now);
    // It answered a probe, directly or through a third node.
    bool confirm(const std::string& node, std::uint64_t incarnation, SteadyTime now);
    // Turns suspects whose time is over into dead members. Returns those.
    std::vector<Member> expire(SteadyTime now);
    // Changes the own description; its revision rises.
    void setLeaving(bool);

    const Member& self() const { return m_self; }
    // The own description and every other member, dead ones too.
    std::vector<Member> members() const;
    std::optional<Member> find(const std::string& node) const;

private:
    struct Entry {
        Member member {};
        SteadyTime since {}; // When it came into its state.
    };

    static bool supersedes(const Member& news, const Member& known);

    Member m_self {};
    MemberTableOptions m_options {};
    std::map<std::string, Entry> m_entries {};
};

} // namespace Onyxnotch
