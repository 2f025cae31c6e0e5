// State of this node and its peers that the request thread publishes to the control thread several times a second, as an immutable value.
#pragma once

#include "modules/peers/group_aggregate.h"
#include <atomic>
#include <memory>
#include <optional>
#include <vector>

namespace Onyxnotch {

// The incarnation in which a node held the singleton duties that it no longer holds, and the fencing token of its last lease.
struct RelinquishedDuties {
    std::uint64_t life { 0 };
    std::uint64_t fence { 0 };

    bool operator==(const RelinquishedDuties&) const = default;
};

struct NodeSummary {
    std::uint64_t fleetTimeMilliseconds { 0 }; // When the summary was made: milliseconds since 1970, by the clock that the nodes agree on.
    SteadyTime madeAt {}; // The same by this node's steady clock.
    unsigned alivePeers { 0 };
    bool peerHoldsDuties { false }; // A peer holds the lease of the singleton duties.
    // By node: peers that report that they held the singleton duties and no longer do.
    std::map<std::string, RelinquishedDuties> relinquishedDuties {};
    bool firstCandidate { true }; // This node is the first one, by name, that may take over the singleton duties.
    // Factor on how long a node that is not the first candidate waits before it takes over singleton duties that no node holds.
    double takeoverDelayFactor { 1 };
    bool watchesStore { true }; // This node should watch the store itself instead of relying on peers.
    bool doPeersWatchStore { false }; // At least one peer has a working watch on the store.
    bool isReplacementWatcher { false }; // Another node watches the store and is used before this one.
    double watchPauseFactor { 1 }; // Factor on the longest pause between store calls while the store does not answer.
    std::uint64_t peerEndpointsRevision { 0 }; // Highest store revision of the endpoint list among the peers that watch the store.
    Address peerEndpointsAddress {}; // Of a peer that serves this list.
    std::uint64_t peerConfigurationVersion { 0 }; // Highest version of the configuration among the peers.
    Address peerConfigurationAddress {}; // Of a peer that serves this configuration.
    // Request counts of all nodes by time window and team. Computed only at the node that held the singleton duties when the summary was
    // made, since the cost grows with nodes times windows times teams: some 60,000 counts at 300 nodes. Empty at other nodes.
    std::optional<WindowCounts> usage {};
    // Time after a usage window's end until its counts are final: each node reports its counts at least once a second.
    Milliseconds usageSettleTime { 1500 };
    std::map<std::string, ServiceDemand> demand {}; // Of all nodes, by service.
    VersionUpdate versions {}; // Reports of all nodes about the versions of services.
    // Endpoints that announced, to this node or another one, that they are shutting down, while the endpoint list does not show it yet.
    std::vector<EndpointIncarnation> unlistedLeavingEndpoints {};
};

// The node for which a summary is made.
struct SummaryOwner {
    std::string node {};
    std::string zone {};
    bool watchesStore { false }; // The node's own watch of the store works.
    bool relinquishedDuties { false }; // The node held the singleton duties in its current incarnation and no longer does.
};

// Summarizes the state rows that the other nodes sent. Members that only the node itself knows are left at their defaults. A pure function.
NodeSummary summarizePeers(const std::vector<const PeerRow*>& alive, const SummaryOwner&);
// The same, from the aggregate of all other nodes in a large fleet.
NodeSummary summarizeGroup(const GroupAggregate& others, const SummaryOwner&);

// Whether `after` differs from `before` in what the control thread acts on at once: newer documents of peers, whether to watch the store, and
// who holds the singleton duties or would take them.
bool isNewsForControl(const NodeSummary& before, const NodeSummary& after);

// Holds the latest summary. Thread-safe.
class NodeSummarySlot {
public:
    std::shared_ptr<const NodeSummary> get() const { return m_summary.load(); }
    void set(std::shared_ptr<const NodeSummary> summary) { m_summary.store(std::move(summary)); }

private:
    std::atomic<std::shared_ptr<const NodeSummary>> m_summary { std::make_shared<const NodeSummary>() };
};

} // namespace Onyxnotch
