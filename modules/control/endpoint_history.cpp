#include "modules/control/endpoint_history.h"

#include "core/digest.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    // Removals are remembered for as many endpoints as there were at the same time, all of which may be removed within seconds, and at least
    // for this number. About 60 bytes each.
    constexpr std::size_t minRemembered = 1000;

    // Replaces invalid UTF-8. It is not expected in any entry: it was already replaced when the entry was read from the store or a peer.
    std::string textOf(const nlohmann::json& value) { return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace); }

    std::uint64_t hashOfEntry(const std::string& id, const std::string& text) { return fastHash(id + text); }

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
    m_removedAt.erase(id);
    m_largestSize = std::max(m_largestSize, m_entries.size());
}

void EndpointHistory::remove(const std::string& id, std::uint64_t revision)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    m_digest ^= it->second.hash;
    m_entries.erase(it);
    m_removedAt[id] = revision;
}

void EndpointHistory::take(const std::map<std::string, StoreObject>& objects, std::uint64_t revision)
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
            put(id, { .text = std::move(text), .hash = hash, .changedAt = revision, .storeRevision = object.revision });
    }
    std::vector<std::string> removed;
    for (const auto& [id, entry] : m_entries) {
        if (!objects.contains(id))
            removed.push_back(id);
    }
    for (const auto& id : removed)
        remove(id, revision);
    dropOldestRemovals();
}

void EndpointHistory::take(const nlohmann::json& values, std::uint64_t revision)
{
    std::map<std::string, StoreObject> objects;
    for (const auto& [id, value] : values.items())
        objects[id] = { .name = id, .value = value };
    take(objects, revision);
}

void EndpointHistory::dropOldestRemovals()
{
    while (m_removedAt.size() > std::max(minRemembered, m_largestSize)) {
        auto oldest = std::min_element(m_removedAt.begin(), m_removedAt.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        m_changesKnownSince = std::max(m_changesKnownSince, oldest->second);
        m_removedAt.erase(oldest);
    }
}

nlohmann::json EndpointHistory::values() const
{
    auto values = nlohmann::json::object();
    for (const auto& [id, entry] : m_entries)
        values[id] = nlohmann::json::parse(entry.text);
    return values;
}

nlohmann::json EndpointHistory::pageSince(std::uint64_t revision) const
{
    nlohmann::json page { { "revision", m_revision }, { "digest", m_digest }, { "whole", false }, { "endpoints", nlohmann::json::object() }, { "gone", nlohmann::json::array() } };
    bool isComplete = revision < m_changesKnownSince || revision == 0;
    page["whole"] = isComplete;
    for (const auto& [id, entry] : m_entries) {
        if (isComplete || entry.changedAt > revision)
            page["endpoints"][id] = nlohmann::json::parse(entry.text);
    }
    if (isComplete)
        return page;
    for (const auto& [id, at] : m_removedAt) {
        if (at > revision)
            page["gone"].push_back(id);
    }
    return page;
}

EndpointHistory::PageChanges EndpointHistory::changesFrom(const nlohmann::json& page, std::uint64_t revision) const
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
        change.written[id] = { .text = std::move(text), .hash = hash, .changedAt = revision };
    }
    auto addRemoval = [&](const std::string& id) {
        change.digest ^= knownHash(id);
        change.removed.push_back(id);
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

Result<bool> EndpointHistory::apply(const nlohmann::json& page)
{
    if (!isWellFormedPage(page))
        return Error { ErrorCode::InvalidArgument, "malformed endpoint page" };
    auto revision = page["revision"].get<std::uint64_t>();
    if (revision <= m_revision)
        return false;
    auto change = changesFrom(page, revision);
    // The digests differ if this node has an entry that was added and removed between two revisions that the other node has seen.
    if (change.digest != page["digest"].get<std::uint64_t>()) {
        m_needsAllEntries = true;
        return Error { ErrorCode::Conflict, "endpoint digest mismatch: the peer missed a change that this node has seen" };
    }
    advanceTo(revision);
    for (auto& [id, entry] : change.written)
        put(id, std::move(entry));
    for (const auto& id : change.removed)
        remove(id, revision);
    dropOldestRemovals();
    return true;
}

} // namespace Onyxnotch
