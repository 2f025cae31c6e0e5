// Aggregated state of the nodes of an availability zone or of the fleet. Computed and sent by relay nodes (FleetRelay); encoded by cereal.
#pragma once

#include "modules/balance/short_name.h"
#include "modules/peers/growing_totals.h"
#include "modules/peers/peer_row.h"

namespace Onyxnotch {

// Load of one endpoint over several nodes; with its ShortName it takes eight bytes, since an aggregate has hundreds of them.
struct AggregatedLoad {
    std::uint16_t inFlight { 0 };
    std::uint16_t waitingUnits { 0 }; // Prompt tokens not read yet, in units of `tokensPerUnit`.

    static constexpr double tokensPerUnit = 64; // Finer than the error of the estimate of cached tokens; allows up to four million tokens.

    bool operator==(const AggregatedLoad&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(inFlight, waitingUnits); }
};

// The newest version of a document within the group, and the node that serves it.
struct DocumentSource {
    std::uint64_t version { 0 };
    Address address {};
    std::string zone {};

    bool operator==(const DocumentSource&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(version, address, zone); }
};

// A node that held the lease of the singleton duties in this incarnation, last with this fencing token, and no longer holds it.
struct FormerDutyHolder {
    std::string node {};
    std::uint64_t lifetime { 0 };
    std::uint64_t fence { 0 };

    bool operator==(const FormerDutyHolder&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, fence); }
};

// A node with a working watch on the store.
struct StoreWatcher {
    std::string zone {};
    std::string node {};

    auto operator<=>(const StoreWatcher&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(zone, node); }
};

struct GroupAggregate {
    PeerContact relay {}; // The relay node that computed the aggregate.
    std::uint32_t sequence { 0 }; // Of the aggregate, increasing during the relay node's incarnation.
    std::uint32_t nodes { 0 }; // Number of nodes with a recent row.
    std::uint32_t silentNodes { 0 }; // Number of nodes whose last row is older: they may be cut off but still serving requests.
    std::uint64_t fleetTimeMilliseconds { 0 }; // Time of day by the median of the nodes' clocks when the aggregate was sent.
    TotalsByName teamTotals {}; // Counted since the relay node's start.
    std::map<ShortName, AggregatedLoad> loads {}; // By endpoint.
    std::map<std::string, ServiceDemand> demand {};
    VersionUpdate versions {};
    SuspectUpdate suspects {};
    std::vector<EndpointIncarnation> leavingEndpoints {};
    std::vector<PeerContact> dutyHolders {};
    std::vector<FormerDutyHolder> formerDutyHolders {};
    std::string firstCandidate {}; // First node by name that may take the singleton duties. Empty if there is none.
    DocumentSource endpoints {}; // The list of endpoints. The version is counted at a node that follows the store.
    DocumentSource configuration {};
    std::vector<StoreWatcher> watchers {}; // The first ones of each zone by name.
    std::map<ShortName, std::uint32_t> counted {}; // For each included node of the relay node's zone, the sequence of its row.
    std::vector<PeerContact> contacts {}; // Some nodes with a recent row; the zone's relay nodes come first.

    bool operator==(const GroupAggregate&) const = default;

    // Whether all numbers are within plausible ranges; otherwise the aggregate is refused.
    bool isSound() const;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(relay, sequence, nodes, silentNodes, fleetTimeMilliseconds, teamTotals, loads, demand, versions, suspects, leavingEndpoints, dutyHolders, formerDutyHolders, firstCandidate,
            endpoints, configuration, watchers, counted, contacts);
    }
};

// Keeps the `maximum` endpoints with the most waiting tokens; among equal ones, those with the most requests in flight.
void keepHeaviest(std::map<ShortName, AggregatedLoad>&, std::size_t maximum);
void addLoad(std::map<ShortName, AggregatedLoad>&, ShortName endpoint, double inFlight, double waitingTokens);
// Replaces `best` by `other` if that is newer, or equally new and, unlike `best`, in `ownZone`.
void replaceIfNewer(DocumentSource& best, const DocumentSource& other, const std::string& ownZone);
// Add a node's row or another group's aggregate. Team totals are left to the caller, since merging them needs the previous values.
void addRow(GroupAggregate&, const PeerRow&, const std::string& ownZone);
void addGroup(GroupAggregate&, const GroupAggregate&, const std::string& ownZone);

} // namespace Onyxnotch
