#include "modules/control/endpoint_registry.h"

#include <algorithm>
#include <vector>

namespace Onyxnotch {

// Counted from the store's return, not from when an entry was missed: one that goes later is gone at once.
bool EndpointRegistry::isDisturbed(SteadyTime storeDisturbedAt, SteadyTime now) const
{
    return storeDisturbedAt != SteadyTime {} && now - storeDisturbedAt < m_options.returnTime;
}

// Without a word that they would leave, and not counted before.
std::size_t EndpointRegistry::countNewlyGone(const std::map<std::string, ListedEndpoint>& entries) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(),
        [&](const auto& it) { return !it.second.leaving && !entries.contains(it.first) && !m_missing.contains(it.first); }));
}

std::uint64_t EndpointRegistry::newestLife(const std::string& id) const
{
    if (auto listed = m_entries.find(id); listed != m_entries.end())
        return listed->second.born;
    auto gone = m_goneLives.find(id);
    return gone == m_goneLives.end() ? 0 : gone->second.born;
}

bool EndpointRegistry::isStale(const ListedEndpoint& entry, SteadyTime now)
{
    if (entry.born >= newestLife(entry.id))
        return false;
    auto& stale = m_stale[entry.id];
    if (stale.since == SteadyTime {} || stale.entry.born != entry.born)
        stale.since = now;
    stale.entry = entry;
    return now - stale.since < m_options.staleFor;
}

void EndpointRegistry::take(const ListedEndpoint& entry)
{
    auto& known = m_entries[entry.id];
    if (known != entry)
        known = entry;
    m_goneLives.erase(entry.id);
    m_stale.erase(entry.id);
}

std::map<std::string, ListedEndpoint>::iterator EndpointRegistry::drop(std::map<std::string, ListedEndpoint>::iterator it, SteadyTime now)
{
    m_goneLives[it->first] = { .born = it->second.born, .goneAt = now };
    return m_entries.erase(it);
}

void EndpointRegistry::drop(const std::string& id, SteadyTime now)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end())
        drop(it, now);
}

void EndpointRegistry::update(const std::map<std::string, ListedEndpoint>& entries, SteadyTime storeDisturbedAt, SteadyTime now, Milliseconds age, const std::set<std::string>& refused)
{
    ++m_changes;
    for (const auto& id : refused) {
        m_missing.erase(id);
        drop(id, now);
    }
    bool disturbed = isDisturbed(storeDisturbedAt, now);
    bool many = countNewlyGone(entries) >= m_options.manyAtOnce;
    auto heldUntil = disturbed ? storeDisturbedAt + m_options.returnTime : now + m_options.heldWhenMany - std::min(age, m_options.heldWhenMany);
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (entries.contains(it->first)) {
            m_missing.erase(it->first);
            ++it;
            continue;
        }
        if (disturbed || many)
            m_missing.try_emplace(it->first, heldUntil);
        if (m_missing.contains(it->first))
            ++it;
        else
            it = drop(it, now);
    }
    std::erase_if(m_stale, [&](const auto& it) { return !entries.contains(it.first); });
    for (const auto& [id, entry] : entries) {
        if (!isStale(entry, now))
            take(entry);
    }
    std::erase_if(m_goneLives, [&](const auto& it) { return now - it.second.goneAt > m_options.livesKept; });
}

bool EndpointRegistry::expire(SteadyTime storeDisturbedAt, SteadyTime now)
{
    // While the store is disturbed, the living endpoint may be kept from writing over a late write.
    if (isDisturbed(storeDisturbedAt, now))
        return false;
    std::vector<ListedEndpoint> standing;
    for (const auto& [id, stale] : m_stale) {
        if (now - stale.since >= m_options.staleFor)
            standing.push_back(stale.entry);
    }
    for (const auto& it : standing)
        take(it);
    auto gone = standing.size() + std::erase_if(m_missing, [&](const auto& it) {
        if (now < it.second)
            return false;
        drop(it.first, now);
        return true;
    });
    if (gone > 0)
        ++m_changes;
    return gone > 0;
}

EndpointList EndpointRegistry::list() const { return { .revision = m_changes, .endpoints = m_entries }; }

} // namespace Onyxnotch
