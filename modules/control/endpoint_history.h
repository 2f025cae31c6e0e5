// Tracks the endpoint entries of the platform's store and the store revision at which each changed. Produces pages of the entries that
// changed after a revision, and applies pages from other nodes, so that nodes transfer only the changes instead of the complete list.
// Performs no I/O.
#pragma once

#include "core/outcome.h"
#include "modules/control/peer_clock.h"
#include "modules/control/store_objects.h"
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Onyxnotch {

class EndpointHistory {
public:
    struct Entry {
        std::string text {}; // JSON. Parsed, an entry takes several times the memory, and only its changes are read.
        std::uint64_t hash { 0 }; // Of the id and the text; used to detect changed entries.
        std::uint64_t changedAt { 0 }; // Revision at which the change was noticed; the change itself may be older.
        std::uint64_t storeRevision { 0 }; // Of the store object; 0 if the entry came from another node.
        SteadyTime readAt {}; // When a node read this version from the store; SteadyTime {} if that is not known.
    };

    // Replaces all entries with `objects`, the complete list as of `revision`. Objects whose store revision is unchanged are skipped, so an
    // update of 3,000 unchanged entries costs one integer comparison each.
    void take(const std::map<std::string, StoreObject>& objects, std::uint64_t revision, SteadyTime readAt = {});
    // The same for values by endpoint id, without store revisions.
    void take(const nlohmann::json& values, std::uint64_t revision, SteadyTime readAt = {});
    // Applies a page that another node made with pageSince(). Returns false if the page is not newer than the entries here. The times of
    // the page are converted with `clock`; without one they stay unknown.
    // Errors: InvalidArgument if the page is malformed; Conflict if the entries would differ from the other node's afterwards, because it
    // missed a change that this node has seen. After a Conflict all entries must be requested, see revisionToRequest().
    Result<bool> apply(const nlohmann::json& page, const std::optional<PeerClock>& clock = std::nullopt);
    // The revision to pass to the next page request; 0 requests all entries.
    std::uint64_t revisionToRequest() const { return m_needsAllEntries ? 0 : m_revision; }
    // A page for a node that has the entries as of `revision`; 0 stands for none. Contains all entries if the changes since then are not
    // known.
    nlohmann::json pageSince(std::uint64_t revision) const;

    bool isEmpty() const { return m_revision == 0; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<std::string, Entry>& entries() const { return m_entries; }
    nlohmann::json values() const;
    // When a node read from the store that the endpoint's entry had vanished; nullopt if that is not known.
    std::optional<SteadyTime> removalReadAt(const std::string& id) const;

private:
    struct Removal {
        std::uint64_t revision { 0 }; // At which the removal was noticed.
        SteadyTime readAt {}; // As in Entry.
    };

    // The changes that a page makes to the entries.
    struct PageChanges {
        std::map<std::string, Entry> written {};
        std::map<std::string, Removal> removed {}; // By endpoint id.
        std::uint64_t digest { 0 }; // Of all entries after the changes.
    };

    PageChanges changesFrom(const nlohmann::json& page, std::uint64_t revision, const std::optional<PeerClock>& clock) const;
    void put(const std::string& id, Entry);
    void remove(const std::string& id, const Removal&);
    void advanceTo(std::uint64_t revision);
    void dropOldestRemovals();

    std::map<std::string, Entry> m_entries {};
    std::uint64_t m_digest { 0 }; // XOR of the hashes of all entries, so it does not depend on their order.
    bool m_needsAllEntries { false }; // All entries must be requested, since a page did not fit the entries.
    std::uint64_t m_revision { 0 };
    std::uint64_t m_changesKnownSince { 0 }; // Earliest revision since which all changes are known.
    std::map<std::string, Removal> m_removals {}; // By endpoint id.
    std::size_t m_largestSize { 0 }; // Largest number of entries so far.
};

} // namespace Onyxnotch
