// How the nodes of a large fleet hear of each other: each tells its row to two relays of its availability zone; a relay adds up its
// zone and tells the relays of the other zones; and it adds up all zones and tells the nodes of its own. So what a node sends and hears
// does not grow with the fleet, and what it knows of all others is less than a second old.
//
// A node is a relay because others take it for one. It keeps nothing that another could not build within a second, and nothing rests on
// a sum being whole: whoever hears none counts the fleet as cut off. Pure, with the time passed in. Belongs to the request thread.
#pragma once

#include "core/recent_most.h"
#include "modules/peers/group_sum.h"
#include "modules/peers/peer_table.h"
#include "modules/peers/relay_choice.h"
#include <deque>
#include <optional>
#include <random>

namespace Onyxnotch {

struct FleetRelayOptions {
    std::string node {};
    std::string zone {};
    // A fleet up to this size needs no relays: every node hears every other one within two periods.
    unsigned everyNodeUpTo { 16 };
    Milliseconds period { 250 }; // In which a row is told.
    // Soon after its start a node spends only its own share of the teams' limits, until it has heard the others: in the four seconds around a
    // loss of power of 295 nodes, 1,245 requests were refused for that. Told each 100 ms, nearly all are heard within half a second.
    Milliseconds startPeriod { 100 };
    Milliseconds startTime { 2000 };
    Milliseconds freshFor { 1500 }; // Rows and sums: six gossip periods. What is older counts as silent.
    Milliseconds silentFor { 20000 }; // Then a node has gone, and no part of the teams' limits is left for it.
    std::size_t contactsPerSum { 4 }; // So that 50 nodes of a zone have been named to all within some five seconds.
    std::size_t watchersTold { 4 };
    // In a sum, eight bytes each: two kilobytes. Named one and all, 3,000 endpoints were 24 KB in each sum, and a relay that told them to
    // the 75 nodes of its zone sent 3.6 MB a second, three times what a small node's link takes.
    std::size_t loadsTold { 256 };
    // Newest first. Others are heard of by the list of endpoints, some hundred milliseconds later.
    std::size_t leavingTold { 64 };
    RelayChoiceOptions choice {};
    std::uint32_t randomSeed { std::random_device {}() }; // For which contacts a sum names.
};

class FleetRelay {
public:
    FleetRelay(PeerTable&, const FleetRelayOptions&, SteadyTime startedAt);

    // A row of this node as it is told now, with a higher sequence than the last one: call it once a period, before anything is told.
    void setOwnRow(const PeerRow&, SteadyTime now);
    void onRow(const PeerRow&, SteadyTime now);
    void onZoneSum(const GroupSum&, SteadyTime now);
    void onFleetSum(const GroupSum&, SteadyTime now);

    // Until the next row.
    Milliseconds period(SteadyTime now) const { return isStarting(now) ? m_options.startPeriod : m_options.period; }
    // Whether a relay tells the sum of the fleet in this period: each of a zone's two in every second one, since it is some kilobytes long.
    bool isFleetTellingDue(SteadyTime now) const { return isStarting(now) || (m_ownRow.sequence + shortNameOf(m_options.node)) % 2 == 0; }
    // Whether the fleet is large enough, as far as this node knows. `listed` nodes stand in the store.
    bool isNeeded(unsigned listed) const;
    // Where this node's row goes.
    std::vector<Address> rowReceivers() const;
    // Others take this node for a relay, or it is first by rank.
    bool isRelay(SteadyTime now);
    // The sums of a relay, and to whom they go.
    struct Telling {
        std::vector<Address> receivers {};
        GroupSum sum {};
    };
    // Whom a relay tells what cannot wait: the nodes that take it for one, and the relays of the other zones.
    std::vector<Address> urgentReceivers(SteadyTime now);
    // The relays of all zones, as far as this one knows them.
    std::vector<Address> otherRelays(SteadyTime now);
    // The nodes that take this one for a relay.
    std::vector<Address> members(SteadyTime now) const;
    const std::string& node() const { return m_options.node; }
    Telling zoneTelling(SteadyTime now);
    Telling fleetTelling(SteadyTime now);

    // All nodes but this one, as far as it knows: what this node adds up itself, or the best of the sums that it hears. Empty where
    // nothing was heard lately. Its team totals are joined from all relays, and only how they grow means something.
    struct Others {
        GroupSum sum {};
        SteadyTime heardAt {}; // The newest of what the team totals are joined from.
    };
    std::optional<Others> others(SteadyTime now);
    // As PeerTable::clockDifference, over sums too.
    std::int64_t clockDifference(std::int64_t own, SteadyTime now) const;

private:
    struct HeardSum {
        GroupSum sum {};
        SteadyTime heardAt {};
        std::int64_t clockDifference { 0 };
        bool countedThisNode { false };
    };

    struct HeardZone {
        std::map<std::string, HeardSum> tellers {}; // By relay.
        JoinedTotals teamTotals {};
        RelayChoice choice {};
    };

    struct OwnRow {
        std::uint32_t sequence { 0 };
        TotalsByName teamTotals {};
        std::vector<EndpointLoadReport> loads {};
        VersionTrials trials {};
    };

    bool isStarting(SteadyTime now) const { return now - m_startedAt < m_options.startTime; }
    bool hear(std::map<std::string, HeardSum>&, const GroupSum&, SteadyTime now);
    void learnContacts(const GroupSum&, SteadyTime now);
    std::vector<const PeerRow*> freshRows(SteadyTime now) const;
    std::vector<Address> otherZonesReceivers(SteadyTime now);
    void addMembers(std::vector<Address>&, SteadyTime now) const;
    GroupSum zoneSum(SteadyTime now, bool withOwn);
    GroupSum wholeSum(SteadyTime now, bool withOwn);
    void addContacts(GroupSum&, SteadyTime now);
    // What every sum says besides.
    void finish(GroupSum&, SteadyTime now);
    const HeardSum* bestOf(const std::map<std::string, HeardSum>&, SteadyTime now) const;
    const OwnRow* ownRowOf(const GroupSum&) const;
    GroupSum withoutOwn(GroupSum) const;

    PeerTable& m_table;
    FleetRelayOptions m_options;
    SteadyTime m_startedAt;
    PeerContact m_self {};
    PeerRow m_ownRow {};
    std::int64_t m_ownClockDifference { 0 };
    std::deque<OwnRow> m_ownRows {}; // The last ones told, oldest first.
    std::uint32_t m_sequence { 0 }; // Of the last sum.
    TotalsSum m_zoneTotals; // Of the own zone's rows, this node's included.
    TotalsSum m_otherTotals; // The same without this node's.
    RelayChoice m_choice;
    std::vector<PeerContact> m_chosen {}; // Relays of the own zone, as this node chose them in this period.
    std::map<std::string, HeardZone> m_zones {}; // Other zones.
    std::map<std::string, HeardSum> m_fleetSums {}; // By relay of the own zone.
    SteadyTime m_totalsHeardAt {};
    RecentMost m_recentNodes {}; // That were heard of at once.
    JoinedTotals m_fleetTotals {}; // Of the others, from the sums of the own zone's relays.
    std::map<std::string, SteadyTime> m_members {}; // Nodes that take this one for a relay, and when they last wrote.
    std::minstd_rand m_random;
};

} // namespace Onyxnotch
