// State exchange through relay nodes in a large fleet: each node sends its row to two relay nodes of its availability zone; a relay node
// aggregates its zone and sends the result to the relay nodes of the other zones; it also aggregates all zones and sends that to the nodes
// of its own zone. So a node's traffic does not grow with the fleet, and its state of all others is less than a second old.
//
// A node acts as a relay node when other nodes chose it. All its state can be rebuilt by another node within a second, and no decision
// depends on an aggregate being complete: a node that receives none treats the fleet as cut off. Pure state machine with the time passed
// in; used by the request thread only.
#pragma once

#include "core/sliding_maximum.h"
#include "modules/peers/group_aggregate.h"
#include "modules/peers/peer_table.h"
#include "modules/peers/relay_choice.h"
#include <deque>
#include <optional>
#include <random>
#include <utility>

namespace Onyxnotch {

struct FleetRelayOptions {
    std::string node {};
    std::string zone {};
    // A fleet up to this size needs no relay nodes: every node receives the rows of every other one within two periods.
    unsigned everyNodeUpTo { 16 };
    Milliseconds period { 250 }; // Interval between this node's rows.
    // Interval between rows during `startTime`, with or without relay nodes: at least `startPeriod`, and `startPeriodPerNode` for each node of
    // the zone, so that the aggregates of a relay node do not fill its link. After its start a node admits only a small share of the teams'
    // limits until it has received state of the others.
    Milliseconds startPeriod { 50 };
    Milliseconds startPeriodPerNode { 1 };
    Milliseconds startTime { 2000 };
    Milliseconds freshFor { 1500 }; // Maximum age of rows and aggregates: six gossip periods. Senders of older ones count as silent.
    // After three gossip periods without a row a node no longer counts as a watcher of the store. Shorter than `freshFor`: until others
    // watch, no node hears of changes, while a watcher too many costs a few calls.
    Milliseconds watcherFreshFor { 750 };
    Milliseconds silentFor { 20000 }; // A node silent for longer counts as removed and gets no share of the teams' limits.
    // Number of randomly chosen nodes whose contacts a relay node adds to each aggregate. Enough for the contacts of a zone of 50 nodes to
    // reach all receivers of its aggregates within about five seconds: the nodes of its own zone that use it as relay node, and the relay
    // nodes of the other zones.
    std::size_t contactsPerAggregate { 4 };
    std::size_t watchersPerAggregate { 4 }; // Nodes of one zone with a working watch on the store that its zone aggregate lists.
    // Endpoint loads in one aggregate, at eight bytes each: two kilobytes. Without a limit, 3,000 endpoints took 24 KB in each aggregate,
    // and a relay node with 75 nodes in its zone sent 3.6 MB a second, three times the capacity of a small node's link.
    std::size_t loadsPerAggregate { 256 };
    // Marks of leaving endpoints in one aggregate, newest first. The other marks reach nodes by the list of endpoints, a few hundred
    // milliseconds later.
    std::size_t leavingMarksPerAggregate { 64 };
    RelayChoiceOptions choice {};
    std::uint32_t randomSeed { std::random_device {}() }; // Seed for the random choice of contacts in an aggregate.
};

class FleetRelay {
public:
    FleetRelay(PeerTable&, const FleetRelayOptions&, SteadyTime startedAt);

    // Sets this node's current row; its sequence must be higher than that of the previous one. Call once a period, before any sending.
    void setOwnRow(const PeerRow&, SteadyTime now);
    void onRow(const PeerRow&, SteadyTime now);
    void onZoneAggregate(const GroupAggregate&, SteadyTime now);
    void onFleetAggregate(const GroupAggregate&, SteadyTime now);

    // Time until this node's next row.
    Milliseconds period(SteadyTime now) const;
    // Whether a relay node sends the fleet aggregate in this period. As it has several kilobytes, each relay node sends it in every second
    // period only, except just after the start.
    bool isFleetAggregateDue(SteadyTime now) const { return isStarting(now) || (m_ownRow.sequence + shortNameOf(m_options.node)) % 2 == 0; }
    // Whether the fleet, as known to this node, is large enough to need relay nodes. `listed` is the number of nodes in the store.
    bool isNeeded(unsigned listed) const;
    // Addresses of the relay nodes to which this node sends its row.
    std::vector<Address> rowReceivers() const;
    // Whether this node is a relay node: other nodes send it their rows, or it has itself chosen it by rank.
    bool isRelay(SteadyTime now);
    // An aggregate of a relay node with the addresses that it is sent to.
    struct AddressedAggregate {
        std::vector<Address> receivers {};
        GroupAggregate sum {};
    };
    // Receivers of urgent updates from a relay node: the nodes that use it as relay node, and the relay nodes of the other zones.
    std::vector<Address> urgentReceivers(SteadyTime now);
    // Relay nodes of the other zones.
    std::vector<Address> otherZonesReceivers(SteadyTime now);
    // Other relay nodes of all zones, as far as this node knows them.
    std::vector<Address> otherRelays(SteadyTime now);
    // Relay nodes that have started since they were last heard of, and since the last call.
    std::vector<Address> takeRestartedRelays() { return std::exchange(m_restartedRelays, {}); }
    // Nodes that use this one as relay node.
    std::vector<Address> members(SteadyTime now) const;
    const std::string& node() const { return m_options.node; }
    AddressedAggregate outgoingZoneAggregate(SteadyTime now);
    AddressedAggregate outgoingFleetAggregate(SteadyTime now);

    // Aggregate of all nodes but this one: computed by this node if it is a relay node, or received from one, whichever has more nodes.
    // Empty if nothing was received lately. The team totals are merged from all relay nodes; only their growth is meaningful, not their
    // value.
    struct Others {
        GroupAggregate sum {};
        SteadyTime receivedAt {}; // Time at which the team totals were last updated.
    };
    std::optional<Others> others(SteadyTime now);
    // As PeerTable::clockDifference, with the clock differences of received aggregates included.
    std::int64_t clockDifference(std::int64_t own, SteadyTime now) const;

private:
    struct ReceivedAggregate {
        GroupAggregate sum {};
        SteadyTime receivedAt {};
        std::int64_t clockDifference { 0 };
        bool isThisNodeIncluded { false };
    };

    // State received from the relay nodes of one other zone.
    struct RemoteZone {
        std::map<std::string, ReceivedAggregate> aggregatesByRelay {}; // By relay node.
        MergedTotals teamTotals {};
        RelayChoice choice {};
    };

    struct OwnRow {
        std::uint32_t sequence { 0 };
        TotalsByName teamTotals {};
        std::vector<EndpointLoadReport> loads {};
        VersionTrials trials {};
    };

    bool isStarting(SteadyTime now) const { return now - m_startedAt < m_options.startTime; }
    bool storeIfNewer(std::map<std::string, ReceivedAggregate>&, const GroupAggregate&, SteadyTime now);
    void refreshContacts(const GroupAggregate&, SteadyTime now);
    std::vector<const PeerRow*> freshRows(SteadyTime now) const;
    // Nodes of this zone with a working watch on the store, the first ones by name.
    std::vector<StoreWatcher> zoneWatchers(SteadyTime now, bool includeOwnRow) const;
    void addMembers(std::vector<Address>&, SteadyTime now) const;
    // Adds a random node of this zone from which no row was received.
    void addUnheardContact(std::vector<Address>&);
    GroupAggregate zoneAggregate(SteadyTime now, bool includeOwnRow);
    GroupAggregate fleetAggregate(SteadyTime now, bool includeOwnRow);
    void addContacts(GroupAggregate&, SteadyTime now);
    // Sets the fields that zone and fleet aggregates have in common: sequence, time and contacts.
    void setCommonFields(GroupAggregate&, SteadyTime now);
    const ReceivedAggregate* mostCompleteOf(const std::map<std::string, ReceivedAggregate>&, SteadyTime now) const;
    const OwnRow* includedOwnRow(const GroupAggregate&) const;
    GroupAggregate withoutOwnRow(GroupAggregate) const;

    PeerTable& m_table;
    FleetRelayOptions m_options;
    SteadyTime m_startedAt;
    PeerContact m_self {};
    PeerRow m_ownRow {};
    std::int64_t m_ownClockDifference { 0 };
    std::deque<OwnRow> m_ownRows {}; // The last rows sent, oldest first.
    std::uint32_t m_sequence { 0 }; // Of the last aggregate sent.
    AggregatedTotals m_zoneTotals; // Over the rows of this node's zone, including its own.
    AggregatedTotals m_otherTotals; // Over the rows of this node's zone, without its own.
    RelayChoice m_choice;
    std::vector<PeerContact> m_ownZoneRelays {}; // Relay nodes of this node's zone that it chose in this period.
    std::map<std::string, RemoteZone> m_remoteZones {}; // Other zones.
    std::map<std::string, ReceivedAggregate> m_fleetAggregates {}; // Received, by relay node of this node's zone.
    SteadyTime m_reportReceivedAt {}; // Last time at which a row or a zone aggregate of another node was received.
    SteadyTime m_totalsReceivedAt {};
    SlidingMaximum m_recentNodes {}; // Largest number of nodes in one aggregate during the last `silentFor`.
    MergedTotals m_fleetTotals {}; // Of all other nodes, merged from the aggregates of this zone's relay nodes.
    std::vector<Address> m_restartedRelays {}; // Since the last takeRestartedRelays().
    std::map<std::string, SteadyTime> m_members {}; // Nodes that use this one as relay node, with the time of their last row.
    std::minstd_rand m_random;
};

} // namespace Onyxnotch
