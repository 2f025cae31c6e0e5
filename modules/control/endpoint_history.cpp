#include "modules/control/endpoint_history.h"

#include "core/digest.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::size_t keptGone = 1000; // Several times what leaves a fleet at once; some 60 bytes each.

    // Bytes that are no text are in no entry that another node sent; the store's have been replaced.
    std::uint64_t hashOfEntry(const std::string& id, const nlohmann::json& value)
    {
        return fastHash(id + value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    bool isNumber(const nlohmann::json& page, const char* name) { return page.value(name, nlohmann::json()).is_number_unsigned(); }

    bool isPage(const nlohmann::json& page)
    {
        return page.is_object() && isNumber(page, "revision") && isNumber(page, "digest") && page.value("whole", nlohmann::json()).is_boolean()
            && page.value("endpoints", nlohmann::json()).is_object() && page.value("gone", nlohmann::json()).is_array();
    }

} // namespace

void EndpointHistory::beginAt(std::uint64_t revision)
{
    if (isEmpty())
        m_knownSince = revision;
    m_revision = revision;
    m_needsAll = false;
}

void EndpointHistory::put(const std::string& id, Entry entry)
{
    auto& known = m_entries[id];
    m_digest ^= known.hash ^ entry.hash;
    known = std::move(entry);
    m_goneAt.erase(id);
}

void EndpointHistory::remove(const std::string& id, std::uint64_t revision)
{
    auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    m_digest ^= it->second.hash;
    m_entries.erase(it);
    m_goneAt[id] = revision;
}

void EndpointHistory::take(const std::map<std::string, StoreObject>& objects, std::uint64_t revision)
{
    beginAt(revision);
    for (const auto& [id, object] : objects) {
        auto known = m_entries.find(id);
        bool isKnown = known != m_entries.end();
        if (isKnown && object.revision != 0 && known->second.storeRevision == object.revision)
            continue;
        auto hash = hashOfEntry(id, object.value);
        if (isKnown && known->second.hash == hash)
            known->second.storeRevision = object.revision;
        else
            put(id, { .value = object.value, .hash = hash, .changedAt = revision, .storeRevision = object.revision });
    }
    std::vector<std::string> gone;
    for (const auto& [id, entry] : m_entries) {
        if (!objects.contains(id))
            gone.push_back(id);
    }
    for (const auto& id : gone)
        remove(id, revision);
    forgetOldest();
}

void EndpointHistory::take(const nlohmann::json& values, std::uint64_t revision)
{
    std::map<std::string, StoreObject> objects;
    for (const auto& [id, value] : values.items())
        objects[id] = { .name = id, .value = value };
    take(objects, revision);
}

void EndpointHistory::forgetOldest()
{
    while (m_goneAt.size() > keptGone) {
        auto oldest = std::min_element(m_goneAt.begin(), m_goneAt.end(), [](const auto& left, const auto& right) { return left.second < right.second; });
        m_knownSince = std::max(m_knownSince, oldest->second);
        m_goneAt.erase(oldest);
    }
}

nlohmann::json EndpointHistory::values() const
{
    auto values = nlohmann::json::object();
    for (const auto& [id, entry] : m_entries)
        values[id] = entry.value;
    return values;
}

nlohmann::json EndpointHistory::pageSince(std::uint64_t revision) const
{
    nlohmann::json page { { "revision", m_revision }, { "digest", m_digest }, { "whole", false }, { "endpoints", nlohmann::json::object() }, { "gone", nlohmann::json::array() } };
    bool whole = revision < m_knownSince || revision == 0;
    page["whole"] = whole;
    for (const auto& [id, entry] : m_entries) {
        if (whole || entry.changedAt > revision)
            page["endpoints"][id] = entry.value;
    }
    if (whole)
        return page;
    for (const auto& [id, at] : m_goneAt) {
        if (at > revision)
            page["gone"].push_back(id);
    }
    return page;
}

EndpointHistory::Change EndpointHistory::changeOf(const nlohmann::json& page, std::uint64_t revision) const
{
    Change change { .digest = m_digest };
    auto hashHere = [&](const std::string& id) {
        auto it = m_entries.find(id);
        return it == m_entries.end() ? 0 : it->second.hash;
    };
    for (const auto& [id, value] : page["endpoints"].items()) {
        auto hash = hashOfEntry(id, value);
        if (hash == hashHere(id))
            continue;
        change.digest ^= hash ^ hashHere(id);
        change.written[id] = { .value = value, .hash = hash, .changedAt = revision };
    }
    auto takeOut = [&](const std::string& id) {
        change.digest ^= hashHere(id);
        change.gone.push_back(id);
    };
    if (page["whole"].get<bool>()) {
        for (const auto& [id, entry] : m_entries) {
            if (!page["endpoints"].contains(id))
                takeOut(id);
        }
        return change;
    }
    for (const auto& id : page["gone"]) {
        if (id.is_string() && m_entries.contains(id.get<std::string>()))
            takeOut(id.get<std::string>());
    }
    return change;
}

Result<bool> EndpointHistory::apply(const nlohmann::json& page)
{
    if (!isPage(page))
        return Error { ErrorCode::InvalidArgument, "no page of endpoints" };
    auto revision = page["revision"].get<std::uint64_t>();
    if (revision <= m_revision)
        return false;
    auto change = changeOf(page, revision);
    // An entry that came and went between two revisions of the other node may stand here.
    if (change.digest != page["digest"].get<std::uint64_t>()) {
        m_needsAll = true;
        return Error { ErrorCode::Conflict, "the other node's changes do not follow this one's entries" };
    }
    beginAt(revision);
    for (auto& [id, entry] : change.written)
        put(id, std::move(entry));
    for (const auto& id : change.gone)
        remove(id, revision);
    forgetOldest();
    return true;
}

} // namespace Onyxnotch
