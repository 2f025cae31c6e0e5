// Decides which nodes watch the platform's store themselves; the other nodes receive changes from these. Uses only the state that nodes
// send each other; performs no I/O.
#pragma once

#include "core/clock.h"
#include "modules/peers/group_aggregate.h"
#include <algorithm>

namespace Onyxnotch {

struct WatchChoiceOptions {
    // Up to this number of nodes every node watches the store. In a larger fleet the number of store calls would grow with the square of
    // the number of nodes, since each change is sent to each watch; there only some nodes of each zone watch, and forward changes to the
    // others.
    unsigned everyNodeUpTo { 16 };
    unsigned watchersPerZone { 2 }; // Two, so that one may fail or be partitioned from its peers without noticing.
    // In a fleet with relay nodes every node receives the changes from any watcher, so this number is enough for the fleet: two of them may
    // fail, or be partitioned without noticing, at the same time. Each change of an endpoint costs a store call of the first watcher; the
    // others call less often.
    unsigned watchersPerFleet { 3 };
};

// Returns true if fewer than `watchersPerZone` nodes of the same zone with an earlier name have a working watch. `alive` are the other
// nodes of the fleet.
inline bool shouldWatchStore(const std::string& node, const std::string& zone, const std::vector<const PeerRow*>& alive, const WatchChoiceOptions& options)
{
    if (alive.size() + 1 <= options.everyNodeUpTo)
        return true;
    auto preceding = std::count_if(
        alive.begin(), alive.end(), [&](const auto* row) { return row->zone == zone && row->watchesStore && !row->leaving && row->node < node; });
    return static_cast<unsigned>(preceding) < options.watchersPerZone;
}

// Returns how many of the other watchers rank before this one. The first watcher of each zone, by name, ranks before the second ones and so
// on, so that the top-ranked watchers are in different zones.
inline unsigned watcherRank(const StoreWatcher& self, const std::vector<StoreWatcher>& others)
{
    auto rankInZone = [](const StoreWatcher& it, const std::vector<StoreWatcher>& all) {
        return std::count_if(all.begin(), all.end(), [&](const auto& other) { return other.zone == it.zone && other.node < it.node; });
    };
    auto all = others;
    all.push_back(self);
    auto rankOf = [&](const StoreWatcher& it) { return std::pair(rankInZone(it, all), it); };
    auto selfRank = rankOf(self);
    return static_cast<unsigned>(std::count_if(others.begin(), others.end(), [&](const auto& it) { return rankOf(it) < selfRank; }));
}

// What a node of a large fleet knows of the others when it decides whether to watch the store.
struct WatchSituation {
    std::vector<StoreWatcher> others {}; // Other nodes that watch it.
    unsigned nodes { 1 }; // In the fleet.
    bool receivesFromPeers { false };
    bool isRelay { false }; // The node knows most of the fleet and passes changes on to the nodes of its zone.
};

// Decides whether a node of a large fleet watches the store. Relay nodes publish which nodes do. If there are too few, further nodes start
// watching after different delays until there are enough; starting all at the same time would cause a burst of calls that grows with the
// fleet.
class WatchDecision {
public:
    WatchDecision(const std::string& node, const std::string& zone, const WatchChoiceOptions& options)
        : m_self { .zone = zone, .node = node }
        , m_fraction(fractionOf(node))
        , m_options(options)
    {
    }

    // A node that receives nothing from peers starts watching after `isolationTimeout` at the latest; a relay node at once when no watcher
    // is left, since the fleet hears of no changes until then. There are a few relay nodes for each zone.
    bool decide(const WatchSituation& situation, SteadyTime now)
    {
        const auto& others = situation.others;
        bool isSurplus = watcherRank(m_self, others) >= m_options.watchersPerFleet;
        bool hasEnough = others.size() >= m_options.watchersPerFleet;
        if (isSurplus || (!m_isWatching && hasEnough)) {
            m_isWatching = false;
            m_shortageSince = {};
            return false;
        }
        if (m_shortageSince == SteadyTime {})
            m_shortageSince = now;
        auto delay = startDelay(situation.nodes);
        if (others.empty() && situation.isRelay)
            delay = {};
        else if (!situation.receivesFromPeers)
            delay = std::min<SteadyTime::duration>(delay, isolationTimeout);
        m_isWatching = m_isWatching || now - m_shortageSince >= delay;
        return m_isWatching;
    }

    // Whether one of the other watchers ranks before this node: only the first one has to follow each change at once.
    bool isReplacement(const std::vector<StoreWatcher>& others) const { return watcherRank(m_self, others) > 0; }

    // Factor on the longest pause between store calls while the store does not answer. During an outage no watch works, so all nodes start
    // calling the store; with this factor only a dozen nodes call at the full rate, whatever the size of the fleet.
    double pauseFactor(unsigned nodes) const
    {
        constexpr double nodesAtFullRate = 12;
        return std::max(1.0, m_fraction * nodes / nodesAtFullRate);
    }

private:
    static constexpr Milliseconds isolationTimeout { 1500 }; // Six periods at which peers send their state.

    // A value from 0 up to 1 that is derived from the node's name, so that it differs between nodes.
    static double fractionOf(const std::string& node)
    {
        constexpr double steps = 1 << 16;
        return static_cast<double>(mixHash(std::hash<std::string> {}(node), 0) % (1U << 16U)) / steps;
    }

    // The n-th node starts n times this after the first one, whatever the size of the fleet. So about eight nodes start watching before the
    // others learn of the first one, three quarters of a second later, and the three that are needed within half a second.
    SteadyTime::duration startDelay(unsigned nodes) const
    {
        constexpr double secondsPerNode = 0.1;
        return std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(m_fraction * nodes * secondsPerNode));
    }

    StoreWatcher m_self;
    double m_fraction;
    WatchChoiceOptions m_options;
    bool m_isWatching { false }; // False at first: every node lists the store's objects once at its start in any case.
    SteadyTime m_shortageSince {}; // Since when there are too few watchers.
};

// Returns the factor on a node's longest pause between store calls while the store does not answer. During an outage no watch works, so all
// nodes call the store. The first nodes of each zone, by name, have a factor of 1; they notice the end of the outage and notify the others.
inline double watchPauseFactor(const std::string& node, const std::string& zone, const std::vector<const PeerRow*>& alive, const WatchChoiceOptions& options)
{
    if (alive.size() + 1 <= options.everyNodeUpTo)
        return 1;
    auto preceding = std::count_if(alive.begin(), alive.end(), [&](const auto* row) { return row->zone == zone && !row->leaving && row->node < node; });
    return std::max(1.0, static_cast<double>(preceding) / options.watchersPerZone);
}

} // namespace Onyxnotch
