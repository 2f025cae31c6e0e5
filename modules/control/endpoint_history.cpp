#include "modules/control/endpoint_history.h"

#include "core/digest.h"
#include "core/json_numbers.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    // Removals are remembered for as many endpoints as there were at the same time, all of which may be removed within seconds, and at least
    // for this number. About 60 bytes each.
    constexpr std::size_t minRemembered = 1000;

    // Replaces invalid UTF-8. It is not expected in any entry: it was already replaced when the entry was read from the store or a peer.
    std::string textOf(const nlohmann::json& value) { return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); }

    std::uint64_t hashOfEntry(const std::string& id, const std::string& text) { return fastHash(id + text); }

    // The time at which a change was read from the store, from a page's member with these times; SteadyTime {} if it is not known.
    SteadyTime readTimeOf(const nlohmann::json& page, const std::string& id, const std::optional<PeerClock>& clock)
    {
        auto times = page.find("read_at");
        if (!clock || times == page.end() || !times->is_object())
            return {};
        auto it = times->find(id);
        auto milliseconds = it == times->end() ? std::nullopt : integerIn(*it);
        return milliseconds ? clock->toLocal(*milliseconds) : SteadyTime {};
    }

    bool hasUnsignedNumber(const nlohmann::json& page, const char* name) { return page.value(name, nlohmann::json()).is_number_unsigned(); }

    bool isWellFormedPage(const nlohmann::json& page)
    {
        return page.is_object() && hasUnsignedNumber(page, "revision") && hasUnsignedNumber(page, "digest") && page.value("whole", nlohmann::json()).is_boolean()
            && page.value("endpoints", nlohmann::json()).is_object() && page.value("gone", nlohmann::json()).is_array();
    }

} // namespace

void EndpointHistory::advanceTo(std::uint64_t revision)
{
    if (isEmpty())
        m_changesKnownSince = revision;
    m_revision = revision;
    m_needsAllEntries = false;
}

void EndpointHistory::put(const std::string& id, Entry entry)
{
    auto& known = m_entries[id];
    m_digest ^= known.hash ^ entry.hash;
    known = std::move(entry);
    m_removals.erase(id);
    m_largestSize = std::max(m_largestSize, m_entries.size());
}

void EndpointHistory::remove(const std::string& id, const Removal& removal)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    m_digest ^= it->second.hash;
    m_entries.erase(it);
    m_removals[id] = removal;
}

std::optional<SteadyTime> EndpointHistory::removalReadAt(const std::string& id) const
{
    auto it = m_removals.find(id);
    if (it == m_removals.end() || it->second.readAt == SteadyTime {})
        return std::nullopt;
    return it->second.readAt;
}

void EndpointHistory::take(const std::map<std::string, StoreObject>& objects, std::uint64_t revision, SteadyTime readAt)
{
    advanceTo(revision);
    for (const auto& [id, object] : objects) {
        auto known = m_entries.find(id);
        bool isKnown = known != m_entries.end();
        if (isKnown && object.revision != 0 && known->second.storeRevision == object.revision)
            continue;
        auto text = textOf(object.value);
        auto hash = hashOfEntry(id, text);
        if (isKnown && known->second.hash == hash)
            known->second.storeRevision = object.revision;
        else
            put(id, { .text = std::move(text), .hash = hash, .changedAt = revision, .storeRevision = object.revision, .readAt = readAt });
    }
    std::vector<std::string> removed;
    for (const auto& [id, entry] : m_entries) {
        if (!objects.contains(id))
            removed.push_back(id);
    }
    for (const auto& id : removed)
        remove(id, { .revision = revision, .readAt = readAt });
    dropOldestRemovals();
}

void EndpointHistory::take(const nlohmann::json& values, std::uint64_t revision, SteadyTime readAt)
{
    std::map<std::string, StoreObject> objects;
    for (const auto& [id, value] : values.items())
        objects[id] = { .name = id, .value = value };
    take(objects, revision, readAt);
}

void EndpointHistory::dropOldestRemovals()
{
    while (m_removals.size() > std::max(minRemembered, m_largestSize)) {
        auto oldest = std::min_element(m_removals.begin(), m_removals.end(), [](const auto& left, const auto& right) { return left.second.revision < right.second.revision; });
        m_changesKnownSince = std::max(m_changesKnownSince, oldest->second.revision);
        m_removals.erase(oldest);
    }
}

nlohmann::json EndpointHistory::values() const
{
    auto values = nlohmann::json::object();
    for (const auto& [id, entry] : m_entries)
        values[id] = nlohmann::json::parse(entry.text);
    return values;
}

// A complete page states the times of all removals that are remembered, as the receiver may still list these endpoints, but not those of
// its entries: most of them are old, and there are thousands.
nlohmann::json EndpointHistory::pageSince(std::uint64_t revision) const
{
    nlohmann::json page { { "revision", m_revision }, { "digest", m_digest }, { "whole", false }, { "endpoints", nlohmann::json::object() }, { "gone", nlohmann::json::array() },
        { "read_at", nlohmann::json::object() } };
    bool isComplete = revision < m_changesKnownSince || revision == 0;
    page["whole"] = isComplete;
    auto addReadTime = [&](const std::string& id, SteadyTime readAt) {
        if (readAt != SteadyTime {})
            page["read_at"][id] = steadyMilliseconds(readAt);
    };
    for (const auto& [id, entry] : m_entries) {
        if (!isComplete && entry.changedAt <= revision)
            continue;
        page["endpoints"][id] = nlohmann::json::parse(entry.text);
        if (!isComplete)
            addReadTime(id, entry.readAt);
    }
    for (const auto& [id, removal] : m_removals) {
        if (!isComplete && removal.revision <= revision)
            continue;
        if (!isComplete)
            page["gone"].push_back(id);
        addReadTime(id, removal.readAt);
    }
    return page;
}

EndpointHistory::PageChanges EndpointHistory::changesFrom(const nlohmann::json& page, std::uint64_t revision, const std::optional<PeerClock>& clock) const
{
    PageChanges change { .digest = m_digest };
    auto knownHash = [&](const std::string& id) {
        auto it = m_entries.find(id);
        return it == m_entries.end() ? 0 : it->second.hash;
    };
    for (const auto& [id, value] : page["endpoints"].items()) {
        auto text = textOf(value);
        auto hash = hashOfEntry(id, text);
        if (hash == knownHash(id))
            continue;
        change.digest ^= hash ^ knownHash(id);
        change.written[id] = { .text = std::move(text), .hash = hash, .changedAt = revision, .readAt = readTimeOf(page, id, clock) };
    }
    auto addRemoval = [&](const std::string& id) {
        change.digest ^= knownHash(id);
        change.removed[id] = { .revision = revision, .readAt = readTimeOf(page, id, clock) };
    };
    if (page["whole"].get<bool>()) {
        for (const auto& [id, entry] : m_entries) {
            if (!page["endpoints"].contains(id))
                addRemoval(id);
        }
        return change;
    }
    for (const auto& id : page["gone"]) {
        if (id.is_string() && m_entries.contains(id.get<std::string>()))
            addRemoval(id.get<std::string>());
    }
    return change;
}

Result<bool> EndpointHistory::apply(const nlohmann::json& page, const std::optional<PeerClock>& clock)
{
    if (!isWellFormedPage(page))
        return Error { ErrorCode::InvalidArgument, "malformed endpoint page" };
    auto revision = page["revision"].get<std::uint64_t>();
    if (revision <= m_revision)
        return false;
    auto change = changesFrom(page, revision, clock);
    // The digests differ if this node has an entry that was added and removed between two revisions that the other node has seen.
    if (change.digest != page["digest"].get<std::uint64_t>()) {
        m_needsAllEntries = true;
        return Error { ErrorCode::Conflict, "endpoint digest mismatch: the peer missed a change that this node has seen" };
    }
    advanceTo(revision);
    for (auto& [id, entry] : change.written)
        put(id, std::move(entry));
    for (const auto& [id, removal] : change.removed)
        remove(id, removal);
    dropOldestRemovals();
    return true;
}

} // namespace Onyxnotch
