// The store's entries of endpoints as this node knows them, and which of them have changed since a revision: what other nodes ask for,
// so that a change costs them its own size and not that of the list. Pure.
#pragma once

#include "core/outcome.h"
#include "modules/control/store_objects.h"
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace Onyxnotch {

class EndpointHistory {
public:
    struct Entry {
        nlohmann::json value {};
        std::uint64_t hash { 0 }; // Of the id and the value: another one, another entry.
        std::uint64_t changedAt { 0 }; // At this revision at the latest.
        std::uint64_t storeRevision { 0 }; // Of the object, where the store told it; 0 where another node did.
    };

    // All entries, as of a revision of the store. Those that the store has not written since the last time are not looked at: a list of
    // 3,000 entries costs a comparison of numbers each.
    void take(const std::map<std::string, StoreObject>& objects, std::uint64_t revision);
    // The same of bare values, by id.
    void take(const nlohmann::json& values, std::uint64_t revision);
    // A page that another node's history made. Returns false where it is no newer than what is here.
    // Errors: InvalidArgument for a page that is none; Conflict where the other node passed over a change that this one has seen, so that
    // all entries have to be asked for.
    Result<bool> apply(const nlohmann::json& page);
    // What to ask the next page since.
    std::uint64_t revisionToAsk() const { return m_needsAll ? 0 : m_revision; }
    // For a node that knows the entries as of `revision`, 0 for none.
    nlohmann::json pageSince(std::uint64_t revision) const;

    bool isEmpty() const { return m_revision == 0; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, Entry>& entries() const { return m_entries; }
    nlohmann::json values() const;

private:
    // What a page does to the entries.
    struct Change {
        std::map<std::string, Entry> written {};
        std::vector<std::string> gone {};
        std::uint64_t digest { 0 }; // Of all entries afterwards.
    };

    Change changeOf(const nlohmann::json& page, std::uint64_t revision) const;
    void put(const std::string& id, Entry);
    void remove(const std::string& id, std::uint64_t revision);
    void beginAt(std::uint64_t revision);
    void forgetOldest();

    std::map<std::string, Entry> m_entries {};
    std::uint64_t m_digest { 0 }; // Of all entries, in any order.
    bool m_needsAll { false };
    std::uint64_t m_revision { 0 };
    std::uint64_t m_knownSince { 0 }; // All changes after this revision are told.
    std::map<std::string, std::uint64_t> m_goneAt {};
};

} // namespace Onyxnotch
