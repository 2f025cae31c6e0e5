// Turns the endpoint entries of the platform's store into the list of endpoints that requests may be sent to. An entry that vanishes
// around a store outage stays listed for a while, because its endpoint may only have been unable to renew it. Performs no I/O; callers pass
// the current time.
#pragma once

#include "core/clock.h"
#include "modules/traffic/endpoint_list.h"
#include <map>
#include <optional>
#include <set>
#include <string_view>

namespace Onyxnotch {

struct EndpointRegistryOptions {
    // Time after an outage of the store within which endpoints renew their entries; given by the platform.
    Milliseconds entryRenewalTime { 2000 };
    // If at least this many entries vanish in one update without having been marked as leaving, they are assumed to have expired during
    // a store outage, which a pending watch call does not notice. They stay listed for `massRemovalHold`, which is shorter than the time
    // within which a removal must take effect.
    std::size_t massRemovalCount { 3 };
    Milliseconds massRemovalHold { 1500 };
    // An entry with an earlier start time than the newest known incarnation of the endpoint is treated as a delayed write, which the
    // running endpoint overwrites within three of its heartbeats. An entry that persists for this time is accepted: the endpoint was
    // restarted while its clock was set back.
    Milliseconds staleEntryTimeout { 4000 };
    // How long the newest incarnation of a removed endpoint is remembered; longer than any write is delayed.
    Milliseconds incarnationRetention { 60000 };
};

// Why endpoints without an entry stay listed.
enum class HoldCause {
    StoreOutage, // A call to the store failed recently.
    RemovedTogether, // Several entries vanished in one update.
    OtherNode, // The node from which the list came holds them.
};

std::string_view nameOf(HoldCause);

// Endpoints whose entries an update found missing and that stay listed for now.
struct EndpointHold {
    std::size_t endpoints { 0 };
    HoldCause cause { HoldCause::RemovedTogether };
    SteadyTime until {};

    bool operator==(const EndpointHold&) const = default;
};

// What is known of the endpoints without an entry in a list.
struct RemovalTimes {
    // Since when the entries may have been missing: holds for several that vanish together count from this time, so that a removal takes
    // effect in time on a node that hears of it late. SteadyTime {}: now.
    SteadyTime noticedAt {};
    // By endpoint id: when a removal takes effect, as decided by the node that noticed it. All nodes follow it, so that the removal takes
    // effect everywhere at the same time, however long the list was on its way. Other endpoints are judged here.
    std::map<std::string, SteadyTime> effectiveAt {};

    bool operator==(const RemovalTimes&) const = default;
};

class EndpointRegistry {
public:
    explicit EndpointRegistry(const EndpointRegistryOptions& options = {})
        : m_options(options)
    {
    }

    // Replaces the entries with `entries`, the store's current ones. `lastStoreFailure` is when a store call of this node last failed.
    // Endpoints whose id is in `unreadableIds`, because their entry could not be read, are removed immediately. Returns the hold that the
    // update has started, if any.
    std::optional<EndpointHold> update(const std::map<std::string, ListedEndpoint>& entries, SteadyTime lastStoreFailure, SteadyTime now, const RemovalTimes& removals = {}, const std::set<std::string>& unreadableIds = {});
    // Removes missing endpoints whose time has expired, and accepts entries of earlier incarnations that persisted too long to be delayed
    // writes. Returns whether the list changed.
    bool expire(SteadyTime lastStoreFailure, SteadyTime now);
    EndpointList list() const;
    bool hasMissing() const { return !m_missingUntil.empty(); }
    // Until when each endpoint stays listed whose entry has vanished, by id.
    const std::map<std::string, SteadyTime>& heldUntil() const { return m_missingUntil; }

private:
    // The newest incarnation of an endpoint that is no longer listed.
    struct RemovedIncarnation {
        std::uint64_t born { 0 };
        SteadyTime removedAt {};
    };

    // An entry of an earlier incarnation than the newest one known, possibly a delayed write.
    struct StaleEntry {
        ListedEndpoint entry {};
        SteadyTime since {};
    };

    bool isRecovering(SteadyTime lastStoreFailure, SteadyTime now) const;
    bool isStale(const ListedEndpoint&, SteadyTime now);
    std::uint64_t newestBorn(const std::string& id) const;
    void accept(const ListedEndpoint&);
    std::map<std::string, ListedEndpoint>::iterator remove(std::map<std::string, ListedEndpoint>::iterator, SteadyTime now);
    void remove(const std::string& id, SteadyTime now);
    std::optional<EndpointHold> decideHold(std::size_t missing, SteadyTime lastStoreFailure, const RemovalTimes&, SteadyTime now) const;
    bool holdMissing(const std::string& id, const std::optional<EndpointHold>& ownHold, const RemovalTimes&, SteadyTime now, EndpointHold& started);
    std::size_t countUndecided(const std::map<std::string, ListedEndpoint>& entries, const RemovalTimes&) const;

    EndpointRegistryOptions m_options;
    std::map<std::string, ListedEndpoint> m_entries {};
    std::map<std::string, SteadyTime> m_missingUntil {}; // By endpoint id: until when an endpoint whose entry vanished stays listed.
    std::map<std::string, RemovedIncarnation> m_removedIncarnations {};
    std::map<std::string, StaleEntry> m_staleEntries {};
    std::uint64_t m_listRevision { 0 };
};

} // namespace Onyxnotch
