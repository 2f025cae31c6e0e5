#include "servers/membership/member_table.h"

#include <algorithm>
#include <tuple>

namespace Onyxnotch {

MemberTable::MemberTable(const Member& self, const MemberTableOptions& options)
    : m_self(self)
    , m_options(options)
{
}

bool MemberTable::supersedes(const Member& news, const Member& known)
{
    // Leaving is one way within an incarnation, so it also wins over a report of the same revision that lacks it.
    return std::tie(news.incarnation, news.revision, news.state, news.leaving) > std::tie(known.incarnation, known.revision, known.state, known.leaving);
}

bool MemberTable::apply(const Member& news, SteadyTime now)
{
    if (news.node == m_self.node) {
        bool aboutThisProcess = news.incarnation == m_self.incarnation;
        if (aboutThisProcess && news.state != MemberState::Alive && news.revision >= m_self.revision) {
            m_self.revision = news.revision + 1;
            return true;
        }
        return false;
    }
    auto it = m_entries.find(news.node);
    if (it == m_entries.end()) {
        if (m_entries.size() >= m_options.maximumMembers)
            return false;
        m_entries.emplace(news.node, Entry { .member = news, .since = now });
        return true;
    }
    if (!supersedes(news, it->second.member))
        return false;
    if (it->second.member.state != news.state)
        it->second.since = now;
    it->second.member = news;
    return true;
}

bool MemberTable::suspect(const std::string& node, SteadyTime now)
{
    auto it = m_entries.find(node);
    if (it == m_entries.end() || it->second.member.state != MemberState::Alive)
        return false;
    it->second.member.state = MemberState::Suspect;
    it->second.since = now;
    return true;
}

bool MemberTable::confirm(const std::string& node, std::uint64_t incarnation, SteadyTime now)
{
    auto it = m_entries.find(node);
    if (it == m_entries.end() || it->second.member.incarnation != incarnation || it->second.member.state != MemberState::Suspect)
        return false;
    it->second.member.state = MemberState::Alive;
    it->second.since = now;
    return true;
}

std::vector<Member> MemberTable::expire(SteadyTime now)
{
    std::vector<Member> died;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& entry = it->second;
        auto age = now - entry.since;
        if (entry.member.state == MemberState::Dead && age >= m_options.forgetTime) {
            it = m_entries.erase(it);
            continue;
        }
        if (entry.member.state == MemberState::Suspect && age >= m_options.suspicionTime) {
            entry.member.state = MemberState::Dead;
            entry.since = now;
            died.push_back(entry.member);
        }
        ++it;
    }
    return died;
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
