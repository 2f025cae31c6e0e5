// State that each node sends about itself to other nodes several times a second, and notices sent between rows. A row replaces an older one
// of the same node. Messages are encoded by cereal.
#pragma once

#include "core/net/address.h"
#include "modules/balance/endpoint_book.h"
#include "modules/limits/usage_ledger.h"
#include "modules/rollout/version_update.h"
#include "modules/suspects/suspect_update.h"
#include <algorithm>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace Onyxnotch {

// Demand for one service at one node, averaged over several seconds.
struct ServiceDemand {
    double requestsPerSecond { 0 }; // Arriving requests, including refused ones.
    double waiting { 0 }; // Requests in flight before their first event.
    double running { 0 }; // Requests in flight after their first event.
    // Number of engines that would be fully occupied by reading prompts, without the parts expected to be cached, at the rate measured by
    // this node.
    double busyEngines { 0 };
    double refusedPerSecond { 0 }; // Requests refused because endpoints were lacking.

    bool operator==(const ServiceDemand&) const = default;

    ServiceDemand& operator+=(const ServiceDemand& other)
    {
        requestsPerSecond += other.requestsPerSecond;
        waiting += other.waiting;
        running += other.running;
        busyEngines += other.busyEngines;
        refusedPerSecond += other.refusedPerSecond;
        return *this;
    }

    ServiceDemand& operator-=(const ServiceDemand& other)
    {
        requestsPerSecond = std::max(0.0, requestsPerSecond - other.requestsPerSecond);
        waiting = std::max(0.0, waiting - other.waiting);
        running = std::max(0.0, running - other.running);
        busyEngines = std::max(0.0, busyEngines - other.busyEngines);
        refusedPerSecond = std::max(0.0, refusedPerSecond - other.refusedPerSecond);
        return *this;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(requestsPerSecond, waiting, running, busyEngines, refusedPerSecond); }
};

// A node's identity and address, sent to nodes that may not know it yet.
struct PeerContact {
    std::string node {};
    std::uint64_t lifetime { 0 };
    Address gossipAddress {};
    std::string zone {}; // Empty if unknown.
    std::uint32_t processorPercent { 0 }; // Processor time that the node may use, in percent of a core; 0 if unknown.

    bool operator==(const PeerContact&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, gossipAddress, zone, processorPercent); }
};

struct PeerRow {
    std::string node {};
    std::uint64_t lifetime { 0 }; // Identifies the node's incarnation; chosen at each start, higher than at any start before.
    std::uint32_t sequence { 0 }; // Of the row, increasing during the incarnation.
    std::uint32_t ageMilliseconds { 0 }; // Time since the node's start.
    std::string zone {};
    Address gossipAddress {};
    Address controlAddress {}; // Peers fetch the configuration here.
    std::uint32_t processorPercent { 0 }; // Processor time that the node may use, in percent of a core; 0 if unknown.
    bool leaving { false };
    bool hasDuties { true }; // The node is allowed to take the singleton duties, which one node at a time performs.
    bool holdsDuties { false };
    std::uint64_t leftDutiesFence { 0 }; // Last fencing token of the duties that the node no longer holds; 0 if none in this incarnation.
    // Time of day when the row was sent, in milliseconds since 1970, by the sender's own clock: the system time at its start plus the time
    // elapsed since. The time agreed between the nodes is the median of these clocks.
    std::uint64_t sentAtMilliseconds { 0 };
    std::uint64_t configurationVersion { 0 };
    bool watchesStore { false }; // The node has a working watch on the store.
    std::uint64_t endpointsRevision { 0 }; // The store's revision of the node's endpoint list.
    std::map<std::string, double> teamTotals {};
    std::vector<EndpointLoadReport> loads {};
    std::vector<EndpointIncarnation> leavingEndpoints {};
    std::map<std::string, ServiceDemand> demand {};
    VersionUpdate versions {};
    SuspectUpdate suspects {};

    bool operator==(const PeerRow&) const = default;

    PeerContact contact() const { return { .node = node, .lifetime = lifetime, .gossipAddress = gossipAddress, .zone = zone, .processorPercent = processorPercent }; }
    // Whether the node is a candidate for taking the lease of the duties. Excluded are nodes that are shutting down, that are not allowed
    // to take the duties, or that have no working watch on the store, as they could not take the lease. Also excluded, until its next
    // start, is a node that has held the duties and lost them or given them up: a node that has just lost the lease may have lost it
    // because the store refuses it, and it may not have noticed yet that its watch on the store no longer works.
    bool canTakeDuties() const { return !leaving && hasDuties && watchesStore && leftDutiesFence == 0; }

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(node, lifetime, sequence, ageMilliseconds, zone, gossipAddress, controlAddress, processorPercent, leaving, hasDuties, holdsDuties, leftDutiesFence, sentAtMilliseconds, configurationVersion, watchesStore, endpointsRevision, teamTotals,
            loads, leavingEndpoints, demand, versions, suspects);
    }
};

// A row as it is sent, with contacts of some other nodes.
struct PeerMessage {
    PeerRow row {};
    std::vector<PeerContact> contacts {};

    template <class Archive>
    void serialize(Archive& archive) { archive(row, contacts); }
};

// Counts of requests started at a node, by window and team. Counts only grow during an incarnation; windows that are left out keep the
// values sent before.
struct UsageNotice {
    std::string node {};
    std::uint64_t lifetime { 0 };
    WindowCounts windows {};

    bool operator==(const UsageNotice&) const = default;

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, windows); }
};

// Announces that a node has sent a long prompt to an endpoint. Sent at once, as the endpoint reads the prompt before the next row is due.
struct PrefillNotice {
    EndpointIncarnation endpoint {};
    double tokens { 0 }; // Uncached tokens of the prompt, as estimated by the sender.

    bool operator==(const PrefillNotice&) const = default;

    // Whether the token count is possible: no engine's memory has room for more, and a time is computed from the count.
    bool isSound() const
    {
        constexpr double maximumTokens = 1e8;
        return tokens >= 0 && tokens <= maximumTokens;
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(endpoint, tokens); }
};

} // namespace Onyxnotch
