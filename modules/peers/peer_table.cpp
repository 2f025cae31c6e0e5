#include "modules/peers/peer_table.h"

#include <algorithm>

namespace Onyxnotch {

PeerTable::PeerTable(std::string self, const PeerTableOptions& options)
    : m_self(std::move(self))
    , m_options(options)
{
}

bool PeerTable::hasRoomFor(const std::string& node)
{
    if (m_entries.size() < m_options.maximumNodes || m_entries.contains(node))
        return true;
    ++m_refused;
    return false;
}

bool PeerTable::apply(const PeerRow& row, SteadyTime now)
{
    if (row.node == m_self || row.node.empty() || !hasRoomFor(row.node))
        return false;
    auto& entry = m_entries[row.node];
    bool older = entry.hasRow && (row.lifetime < entry.row.lifetime || (row.lifetime == entry.row.lifetime && row.sequence <= entry.row.sequence));
    if (older)
        return false;
    entry.row = row;
    entry.contact = row.contact();
    entry.hasRow = true;
    entry.lastSeenAt = now;
    entry.clockDifference = static_cast<std::int64_t>(row.sentAtMilliseconds) - std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
    return true;
}

void PeerTable::applyUsage(const UsageNotice& notice, SteadyTime now)
{
    constexpr std::size_t maximumIncarnations = 4;
    constexpr std::size_t maximumWindows = 12; // Twice the number of windows that a node keeps of its own usage.
    if (notice.node == m_self || notice.node.empty() || !hasRoomFor(notice.node))
        return;
    auto& entry = m_entries[notice.node];
    entry.lastSeenAt = std::max(entry.lastSeenAt, now);
    auto& windows = entry.usageByIncarnation[notice.lifetime];
    for (const auto& [window, counts] : notice.windows) {
        for (const auto& [team, count] : counts) {
            auto& known = windows[window][team];
            known = std::max(known, count);
        }
    }
    while (windows.size() > maximumWindows)
        windows.erase(windows.begin());
    while (entry.usageByIncarnation.size() > maximumIncarnations)
        entry.usageByIncarnation.erase(entry.usageByIncarnation.begin());
}

bool PeerTable::hasReceivedRow(const std::string& node, std::uint64_t lifetime) const
{
    auto it = m_entries.find(node);
    return it != m_entries.end() && it->second.hasRow && it->second.row.lifetime >= lifetime;
}

void PeerTable::addContact(const PeerContact& contact, SteadyTime now)
{
    if (contact.node == m_self || contact.node.empty() || !hasRoomFor(contact.node))
        return;
    auto [it, added] = m_entries.try_emplace(contact.node);
    if (!added && contact.lifetime <= it->second.contact.lifetime)
        return;
    it->second.contact = contact;
    if (added)
        it->second.lastSeenAt = now;
}

void PeerTable::refreshContact(const PeerContact& contact, SteadyTime now)
{
    addContact(contact, now);
    auto it = m_entries.find(contact.node);
    if (it != m_entries.end())
        it->second.confirmedByRelayAt = now;
}

void PeerTable::purgeExpired(SteadyTime now)
{
    std::erase_if(m_entries, [&](const auto& it) { return now - std::max(it.second.lastSeenAt, it.second.confirmedByRelayAt) > m_options.forgetAfter; });
}

std::vector<const PeerRow*> PeerTable::heardWithin(Milliseconds duration, SteadyTime now) const
{
    std::vector<const PeerRow*> rows;
    for (const auto& [node, entry] : m_entries) {
        if (entry.hasRow && now - entry.lastSeenAt <= duration)
            rows.push_back(&entry.row);
    }
    return rows;
}

std::vector<PeerContact> PeerTable::contactsIn(const std::string& zone) const
{
    std::vector<PeerContact> contacts;
    for (const auto& [node, entry] : m_entries) {
        if (entry.contact.zone == zone)
            contacts.push_back(entry.contact);
    }
    return contacts;
}

std::vector<PeerContact> PeerTable::contactsOutside(const std::string& zone) const
{
    std::vector<PeerContact> contacts;
    for (const auto& [node, entry] : m_entries) {
        if (entry.contact.zone != zone)
            contacts.push_back(entry.contact);
    }
    return contacts;
}

std::map<std::string, std::vector<PeerContact>> PeerTable::contactsByZone() const
{
    std::map<std::string, std::vector<PeerContact>> contacts;
    for (const auto& [node, entry] : m_entries) {
        if (!entry.contact.zone.empty())
            contacts[entry.contact.zone].push_back(entry.contact);
    }
    return contacts;
}

bool PeerTable::isSilent(const Entry& entry, Milliseconds silentFor, SteadyTime now) const
{
    auto silence = now - entry.lastSeenAt;
    return entry.hasRow && !entry.row.leaving && silence > m_options.silentAfter && silence <= silentFor;
}

unsigned PeerTable::silentIn(const std::string& zone, Milliseconds silentFor, SteadyTime now) const
{
    return static_cast<unsigned>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& it) { return it.second.row.zone == zone && isSilent(it.second, silentFor, now); }));
}

unsigned PeerTable::silent(Milliseconds silentFor, SteadyTime now) const
{
    return static_cast<unsigned>(std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& it) { return isSilent(it.second, silentFor, now); }));
}

std::optional<PeerContact> PeerTable::contactOf(const std::string& node) const
{
    auto it = m_entries.find(node);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.contact);
}

std::vector<PeerContact> PeerTable::dutyHolders() const
{
    std::vector<PeerContact> contacts;
    for (const auto& [node, entry] : m_entries) {
        if (entry.hasRow && entry.row.holdsDuties)
            contacts.push_back(entry.contact);
    }
    return contacts;
}

std::vector<PeerContact> PeerTable::contacts() const
{
    std::vector<PeerContact> contacts;
    for (const auto& [node, entry] : m_entries)
        contacts.push_back(entry.contact);
    return contacts;
}

WindowCounts PeerTable::usage() const
{
    WindowCounts sums;
    for (const auto& [node, entry] : m_entries) {
        for (const auto& [lifetime, windows] : entry.usageByIncarnation) {
            for (const auto& [window, counts] : windows) {
                for (const auto& [team, count] : counts)
                    sums[window][team] += count;
            }
        }
    }
    return sums;
}

std::vector<std::int64_t> PeerTable::clockDifferences(SteadyTime now) const
{
    std::vector<std::int64_t> differences;
    for (const auto& [node, entry] : m_entries) {
        if (entry.hasRow && now - entry.lastSeenAt <= m_options.silentAfter)
            differences.push_back(entry.clockDifference);
    }
    return differences;
}

std::int64_t PeerTable::clockDifference(std::int64_t own, SteadyTime now) const
{
    auto differences = clockDifferences(now);
    differences.push_back(own);
    return medianOf(std::move(differences));
}

std::int64_t medianOf(std::vector<std::int64_t> values)
{
    auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace Onyxnotch
