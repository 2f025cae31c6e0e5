// Turns the store's entries of endpoints into the list that requests use. An entry that vanishes while the store was away is not gone
// yet: its endpoint may only have been kept from renewing it. Pure, with the time passed in.
#pragma once

#include "core/clock.h"
#include "modules/traffic/endpoint_list.h"
#include <map>
#include <set>

namespace Onyxnotch {

struct EndpointRegistryOptions {
    Milliseconds returnTime { 2000 }; // Within which entries are back after the store's return; the platform's figure.
    // So many entries that go at once, without a word that they would, have lapsed while the store was away: a watch that waits all the
    // time does not notice an outage. They are held for less than the time within which a removal must be heeded.
    std::size_t manyAtOnce { 3 };
    Milliseconds heldWhenMany { 1500 };
    // An entry of an earlier life than one that was known is a write that came late, and the living endpoint writes over it within three of
    // its heartbeats. One that stands longer was born by a clock that has been set back, and counts.
    Milliseconds staleFor { 4000 };
    // How long the newest life of an id that is no longer listed is remembered: longer than a write comes late.
    Milliseconds livesKept { 60000 };
};

class EndpointRegistry {
public:
    explicit EndpointRegistry(const EndpointRegistryOptions& options = {})
        : m_options(options)
    {
    }

    // The store's entries as of now. `storeDisturbedAt` is when a call to the store last failed here. Where another node has told them, they
    // are as old as `age`: what is held is held so much shorter, or nodes that hear late would heed a removal later than the bound. Holding
    // from their own time on, the slowest of 77 nodes heeded one after 3.09 s.
    // What was known under an id that is `refused`, since its entry cannot be read, ends at once.
    void update(const std::map<std::string, ListedEndpoint>& entries, SteadyTime storeDisturbedAt, SteadyTime now, Milliseconds age = Milliseconds(0), const std::set<std::string>& refused = {});
    // Drops what did not come back in time after the store did, and takes entries that have stood too long to be late writes. Returns
    // whether the list changed.
    bool expire(SteadyTime storeDisturbedAt, SteadyTime now);
    EndpointList list() const;
    bool hasMissing() const { return !m_missing.empty(); }

private:
    // The newest life that was listed under an id.
    struct GoneLife {
        std::uint64_t born { 0 };
        SteadyTime goneAt {};
    };

    // An entry of an earlier life than the newest one.
    struct StaleEntry {
        ListedEndpoint entry {};
        SteadyTime since {};
    };

    bool isDisturbed(SteadyTime storeDisturbedAt, SteadyTime now) const;
    bool isStale(const ListedEndpoint&, SteadyTime now);
    std::uint64_t newestLife(const std::string& id) const;
    void take(const ListedEndpoint&);
    std::map<std::string, ListedEndpoint>::iterator drop(std::map<std::string, ListedEndpoint>::iterator, SteadyTime now);
    void drop(const std::string& id, SteadyTime now);
    std::size_t countNewlyGone(const std::map<std::string, ListedEndpoint>&) const;

    EndpointRegistryOptions m_options;
    std::map<std::string, ListedEndpoint> m_entries {};
    std::map<std::string, SteadyTime> m_missing {}; // Until when an entry that vanished is still listed, by id.
    std::map<std::string, GoneLife> m_goneLives {};
    std::map<std::string, StaleEntry> m_stale {};
    std::uint64_t m_changes { 0 };
};

} // namespace Onyxnotch
