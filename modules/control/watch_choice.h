// Which nodes follow the store themselves: a pure function of what the nodes say.
#pragma once

#include "modules/peers/peer_row.h"
#include <algorithm>

namespace Onyxnotch {

struct WatchChoiceOptions {
    // A fleet up to this size follows the store with every node. In a larger one the store's calls would grow with its square, since
    // each change is told to each watch, so only some nodes of each zone do and tell the others.
    unsigned everyNodeUpTo { 16 };
    unsigned watchersPerZone { 2 }; // So that one may be lost, or cut off without knowing it.
};

// The first nodes of each zone, by name, whose watch works. A node that knows of too few watches itself. `alive` are the other nodes.
inline bool shouldWatchStore(const std::string& node, const std::string& zone, const std::vector<const PeerRow*>& alive, const WatchChoiceOptions& options)
{
    if (alive.size() + 1 <= options.everyNodeUpTo)
        return true;
    auto before = std::count_if(
        alive.begin(), alive.end(), [&](const auto* row) { return row->zone == zone && row->watchesStore && !row->leaving && row->node < node; });
    return static_cast<unsigned>(before) < options.watchersPerZone;
}

// How much longer than the first watchers of its zone a node pauses between calls that the store does not answer, as a factor. In an
// outage no node's watch works, and all follow the store; its return is noticed by the first ones, and told to the others.
inline double watchPauseFactor(const std::string& node, const std::string& zone, const std::vector<const PeerRow*>& alive, const WatchChoiceOptions& options)
{
    if (alive.size() + 1 <= options.everyNodeUpTo)
        return 1;
    auto before = std::count_if(alive.begin(), alive.end(), [&](const auto* row) { return row->zone == zone && !row->leaving && row->node < node; });
    return std::max(1.0, static_cast<double>(before) / options.watchersPerZone);
}

} // namespace Onyxnotch
