#include "servers/membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace Onyxnotch {

MemberTable::MemberTable(const Member& self, const MemberTableOptions& options)
    : m_self(self)
    , m_options(options)
{
}

bool MemberTable::supersedes(const Member& update, const Member& current)
{
    // Within an incarnation, `leaving` is never revoked. So of two updates with the same revision and state, the one that has it set wins.
    return std::tie(update.incarnation, update.revision, update.state, update.leaving) > std::tie(current.incarnation, current.revision, current.state, current.leaving);
}

bool MemberTable::apply(const Member& update, SteadyTime now)
{
    if (update.node == m_self.node) {
        bool isThisIncarnation = update.incarnation == m_self.incarnation;
        if (isThisIncarnation && update.state != MemberState::Alive && update.revision >= m_self.revision) {
            m_self.revision = update.revision + 1;
            return true;
        }
        return false;
    }
    auto it = m_entries.find(update.node);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_options.maximumMembers)
            return false;
        m_entries.emplace(update.node, Entry { .member = update, .stateSince = now });
        return true;
    }
    if (!supersedes(update, it->second.member))
        return false;
    if (it->second.member.state != update.state)
        it->second.stateSince = now;
    it->second.member = update;
    return true;
}

bool MemberTable::suspect(const std::string& node, SteadyTime now)
{
    auto it = m_entries.find(node);
    if (it == m_entries.end() || it->second.member.state != MemberState::Alive)
        return false;
    it->second.member.state = MemberState::Suspect;
    it->second.stateSince = now;
    return true;
}

bool MemberTable::confirm(const std::string& node, std::uint64_t incarnation, SteadyTime now)
{
    auto it = m_entries.find(node);
    if (it == m_entries.end() || it->second.member.incarnation != incarnation || it->second.member.state != MemberState::Suspect)
        return false;
    it->second.member.state = MemberState::Alive;
    it->second.stateSince = now;
    return true;
}

std::vector<Member> MemberTable::expire(SteadyTime now)
{
    std::vector<Member> newlyDead;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        auto age = now - entry.stateSince;
        if (entry.member.state == MemberState::Dead && age >= m_options.deadRetention) {
            it = m_entries.erase(it);
            continue;
        }
        if (entry.member.state == MemberState::Suspect && age >= m_options.suspicionTime) {
            entry.member.state = MemberState::Dead;
            entry.stateSince = now;
            newlyDead.push_back(entry.member);
        }
        ++it;
    }
    return newlyDead;
}

void MemberTable::setLeaving(bool leaving)
{
    if (m_self.leaving == leaving)
        return;
    m_self.leaving = leaving;
    ++m_self.revision;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members { m_self };
    members.reserve(m_entries.size() + 1);
    for (const auto& [node, entry] : m_entries)
        members.push_back(entry.member);
    return members;
}

std::optional<Member> MemberTable::find(const std::string& node) const
{
    if (node == m_self.node)
        return m_self;
    auto it = m_entries.find(node);
    if (it == m_entries.end())
        return std::nullopt;
    return it->second.member;
}

} // namespace Onyxnotch
