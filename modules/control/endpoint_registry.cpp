#include "modules/control/endpoint_registry.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace Onyxnotch {

std::string_view nameOf(HoldCause cause)
{
    switch (cause) {
    case HoldCause::StoreOutage:
        return "store_outage";
    case HoldCause::RemovedTogether:
        return "removed_together";
    case HoldCause::OtherNode:
        return "other_node";
    }
    return "";
}

// Whether endpoints may still be renewing their entries after a store outage. The time is counted from the last failed store call, not from
// when an entry is found missing: an entry that vanishes after that time is removed immediately.
bool EndpointRegistry::isRecovering(SteadyTime lastStoreFailure, SteadyTime now) const
{
    return lastStoreFailure != SteadyTime {} && now - lastStoreFailure < m_options.entryRenewalTime;
}

// Counts endpoints whose entry is not in `entries`, without those that were marked as leaving, were already missing, or whose removal
// another node has decided on.
std::size_t EndpointRegistry::countUndecided(const std::map<std::string, ListedEndpoint>& entries, const RemovalTimes& removals) const
{
    auto isUndecided = [&](const auto& it) {
        return !it.second.leaving && !entries.contains(it.first) && !m_missingUntil.contains(it.first) && !removals.effectiveAt.contains(it.first);
    };
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), isUndecided));
}

// The hold of endpoints whose entries are missing and on which no other node has decided; nullopt if they are removed at once.
std::optional<EndpointHold> EndpointRegistry::decideHold(std::size_t missing, SteadyTime lastStoreFailure, const RemovalTimes& removals, SteadyTime now) const
{
    if (isRecovering(lastStoreFailure, now))
        return EndpointHold { .endpoints = missing, .cause = HoldCause::StoreOutage, .until = lastStoreFailure + m_options.entryRenewalTime };
    if (missing < m_options.massRemovalCount)
        return std::nullopt;
    auto noticedAt = removals.noticedAt == SteadyTime {} ? now : removals.noticedAt;
    return EndpointHold { .endpoints = missing, .cause = HoldCause::RemovedTogether, .until = noticedAt + m_options.massRemovalHold };
}

// Returns whether a missing endpoint stays listed, and adds it to `started` if it was not missing before.
bool EndpointRegistry::holdMissing(const std::string& id, const std::optional<EndpointHold>& ownHold, const RemovalTimes& removals, SteadyTime now, EndpointHold& started)
{
    auto decided = removals.effectiveAt.find(id);
    bool isDecided = decided != removals.effectiveAt.end();
    bool isNew = !m_missingUntil.contains(id);
    if (isDecided)
        m_missingUntil.insert_or_assign(id, decided->second);
    else if (ownHold)
        m_missingUntil.try_emplace(id, ownHold->until);
    auto missing = m_missingUntil.find(id);
    // While the store may be away, only expire() removes what is held here.
    bool isProlonged = !isDecided && ownHold && ownHold->cause == HoldCause::StoreOutage;
    if (missing == m_missingUntil.end() || (missing->second <= now && !isProlonged))
        return false;
    if (isNew)
        started = { .endpoints = started.endpoints + 1, .cause = isDecided ? HoldCause::OtherNode : ownHold->cause, .until = missing->second };
    return true;
}

std::uint64_t EndpointRegistry::newestBorn(const std::string& id) const
{
    if (auto current = m_entries.find(id); current != m_entries.end())
        return current->second.born;
    auto former = m_removedIncarnations.find(id);
    return former == m_removedIncarnations.end() ? 0 : former->second.born;
}

bool EndpointRegistry::isStale(const ListedEndpoint& entry, SteadyTime now)
{
    if (entry.born >= newestBorn(entry.id))
        return false;
    auto& stale = m_staleEntries[entry.id];
    if (stale.since == SteadyTime {} || stale.entry.born != entry.born)
        stale.since = now;
    stale.entry = entry;
    return now - stale.since < m_options.staleEntryTimeout;
}

void EndpointRegistry::accept(const ListedEndpoint& entry)
{
    auto& listed = m_entries[entry.id];
    if (listed != entry)
        listed = entry;
    m_removedIncarnations.erase(entry.id);
    m_staleEntries.erase(entry.id);
}

std::map<std::string, ListedEndpoint>::iterator EndpointRegistry::remove(std::map<std::string, ListedEndpoint>::iterator it, SteadyTime now)
{
    m_removedIncarnations[it->first] = { .born = it->second.born, .removedAt = now };
    return m_entries.erase(it);
}

void EndpointRegistry::remove(const std::string& id, SteadyTime now)
{
    auto it = m_entries.find(id);
    if (it != m_entries.end())
        remove(it, now);
}

std::optional<EndpointHold> EndpointRegistry::update(
    const std::map<std::string, ListedEndpoint>& entries, SteadyTime lastStoreFailure, SteadyTime now, const RemovalTimes& removals, const std::set<std::string>& unreadableIds)
{
    ++m_listRevision;
    for (const auto& id : unreadableIds) {
        m_missingUntil.erase(id);
        remove(id, now);
    }
    auto ownHold = decideHold(countUndecided(entries, removals), lastStoreFailure, removals, now);
    EndpointHold started;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        bool isPresent = entries.contains(it->first);
        bool isListed = isPresent || holdMissing(it->first, ownHold, removals, now, started);
        if (isPresent || !isListed)
            m_missingUntil.erase(it->first);
        it = isListed ? std::next(it) : remove(it, now);
    }
    std::erase_if(m_staleEntries, [&](const auto& it) { return !entries.contains(it.first); });
    for (const auto& [id, entry] : entries) {
        if (!isStale(entry, now))
            accept(entry);
    }
    std::erase_if(m_removedIncarnations, [&](const auto& it) { return now - it.second.removedAt > m_options.incarnationRetention; });
    return started.endpoints > 0 ? std::optional(started) : std::nullopt;
}

bool EndpointRegistry::expire(SteadyTime lastStoreFailure, SteadyTime now)
{
    // Shortly after a store failure the running endpoint may have been unable to overwrite a delayed write.
    if (isRecovering(lastStoreFailure, now))
        return false;
    std::vector<ListedEndpoint> persisting;
    for (const auto& [id, stale] : m_staleEntries) {
        if (now - stale.since >= m_options.staleEntryTimeout)
            persisting.push_back(stale.entry);
    }
    for (const auto& it : persisting)
        accept(it);
    auto removed = persisting.size() + std::erase_if(m_missingUntil, [&](const auto& it) {
        if (now < it.second)
            return false;
        remove(it.first, now);
        return true;
    });
    if (removed > 0)
        ++m_listRevision;
    return removed > 0;
}

EndpointList EndpointRegistry::list() const { return { .revision = m_listRevision, .endpoints = m_entries }; }

} // namespace Onyxnotch
