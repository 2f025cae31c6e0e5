// Replaces endpoints of a whole fleet of real entry processes in batches while watchers, relay nodes and others fail, and measures for how
// long after the store's acknowledgement requests still reach the removed endpoints. The seed determines the batches and the faults.
#pragma once

#include "core/clock.h"
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch::Tests {

// What happens while a batch of endpoints is removed.
enum class RemovalFault {
    None,
    CutWatches, // The store ends all waiting watches, three times.
    KillWatchers, // The nodes that watch the store are killed.
    KillRelays, // The relay nodes of one zone are killed.
    FreezeWatchersAndRelays, // They are suspended for some seconds.
    KillMany, // A third of the nodes is killed.
    Starve, // All nodes run only for a short part of each period, each at a phase of its own.
};

std::string_view nameOf(RemovalFault);
std::optional<RemovalFault> removalFaultNamed(std::string_view);

struct RemovalSoakOptions {
    std::uint64_t seed { 1 };
    unsigned nodes { 20 }; // More than 16, so that only some of them watch the store and the others hear of changes from these.
    unsigned endpoints { 24 };
    unsigned rounds { 3 };
    std::optional<RemovalFault> fault {}; // In all rounds; drawn for each round if not set, but never CutWatches.
    std::optional<bool> isAnnounced {}; // Whether endpoints say that they are draining before their entries vanish; drawn if not set.
    Milliseconds bound { 3000 }; // From the acknowledgement until the last request of a node in touch.
    Milliseconds contactTime { 4000 }; // For this time after a fault on a node, the bound does not apply to it.
};

// One batch of removed endpoints.
struct RemovalRound {
    RemovalFault fault { RemovalFault::None };
    bool isAnnounced { false };
    std::size_t removed { 0 }; // Endpoints.
    std::size_t nodes { 0 }; // Nodes to which the bound applies and that sent a request to a removed endpoint.
    Milliseconds median { 0 }; // Of the time from the acknowledgement to a node's last request to a removed endpoint.
    Milliseconds longest { 0 };
    std::size_t lateRequests { 0 }; // Beyond the bound.
    std::vector<std::string> lines {}; // Log lines of the nodes that sent late requests.
};

// Runs the soak to its end and returns its rounds.
std::vector<RemovalRound> runRemovalSoak(const RemovalSoakOptions&);

} // namespace Onyxnotch::Tests
