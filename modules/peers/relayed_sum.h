// Sums a value that each node reports about itself over all nodes of the fleet. In a small fleet each node sends its report to all others.
// In a larger one it sends the report to the relay nodes of its availability zone (FleetRelay), which send the sum of their zone to the
// relay nodes of the other zones, and the sum of all zones to the nodes of their own. The sum includes this node's own report.
//
// A new report replaces the sender's last one, so a lost message delays the sum by one period. Pure state machine with the time passed in; used by the
// request thread only.
#pragma once

#include "core/clock.h"
#include <cereal/types/string.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Onyxnotch {

// The nodes that a SumUpdate covers.
enum class SumScope : std::uint8_t {
    Node, // Only the sender.
    Zone, // The nodes of the sender's availability zone that use it as relay node.
    Fleet, // All zones.
};

// One message with the sender's report, or the sum of several nodes' reports.
template <typename Value>
struct SumUpdate {
    std::string node {}; // The sender.
    std::uint64_t lifetime { 0 }; // Identifies the sender's incarnation; higher at each start.
    std::uint32_t sequence { 0 }; // Increasing during the sender's incarnation.
    std::string zone {};
    SumScope scope { SumScope::Node };
    std::uint32_t nodes { 1 }; // Number of nodes whose reports are included.
    Value sum {};

    bool operator==(const SumUpdate&) const = default;

    // Whether all values are within plausible ranges; otherwise the update is refused.
    bool isSound() const
    {
        constexpr std::uint32_t maximumNodeCount = 100000; // Far more than any fleet has.
        return !node.empty() && scope <= SumScope::Fleet && nodes > 0 && nodes <= maximumNodeCount && sum.isSound();
    }

    template <class Archive>
    void serialize(Archive& archive) { archive(node, lifetime, sequence, zone, scope, nodes, sum); }
};

struct RelayedSumOptions {
    std::string node {};
    std::uint64_t lifetime { 0 };
    std::string zone {};
    Milliseconds freshFor { 1500 }; // Maximum age of a report that is included: six gossip periods, as for the other state of nodes.
};

// `Value` needs operator+=, isSound() and serialize().
template <typename Value>
class RelayedSum {
public:
    // The sum over `nodes` nodes, this one included.
    struct Total {
        Value sum {};
        unsigned nodes { 1 };
    };

    explicit RelayedSum(RelayedSumOptions options)
        : m_options(std::move(options))
    {
    }

    // Sets this node's current report.
    void setOwn(Value value) { m_own = std::move(value); }

    // Stores a message of another node. One that is older than the sender's last message is ignored.
    void onUpdate(const SumUpdate<Value>& update, SteadyTime now)
    {
        if (update.node == m_options.node)
            return;
        auto& known = receivedFrom(update)[update.node];
        bool isNewer = std::pair(update.lifetime, update.sequence) > std::pair(known.update.lifetime, known.update.sequence);
        if (isNewer)
            known = { .update = update, .receivedAt = now };
    }

    // This node's report, for the other nodes of a small fleet, or for the relay nodes of the zone.
    SumUpdate<Value> nodeUpdate() { return makeUpdate(SumScope::Node, { .sum = m_own }); }
    // The sum of the zone, from a relay node for the relay nodes of the other zones.
    SumUpdate<Value> zoneUpdate(SteadyTime now) { return makeUpdate(SumScope::Zone, zoneTotal(now)); }
    // The sum of all zones, from a relay node for the nodes that use it.
    SumUpdate<Value> fleetUpdate(SteadyTime now) { return makeUpdate(SumScope::Fleet, fleetTotal(now)); }

    // The most complete sum that is known: of the messages received from nodes and zones, or received from a relay node.
    Total total(SteadyTime now) const
    {
        auto total = fleetTotal(now);
        if (const auto* fleet = mostCompleteOf(m_fleets, now); fleet && fleet->nodes > total.nodes)
            total = { .sum = fleet->sum, .nodes = fleet->nodes };
        return total;
    }

    // Removes messages that are no longer included.
    void purgeExpired(SteadyTime now)
    {
        auto purge = [&](Senders& senders) { std::erase_if(senders, [&](const auto& it) { return !isFresh(it.second, now); }); };
        purge(m_nodes);
        purge(m_fleets);
        for (auto& [zone, relays] : m_zones)
            purge(relays);
        std::erase_if(m_zones, [](const auto& it) { return it.second.empty(); });
    }

private:
    struct Received {
        SumUpdate<Value> update {};
        SteadyTime receivedAt {};
    };

    using Senders = std::map<std::string, Received>;

    Senders& receivedFrom(const SumUpdate<Value>& update)
    {
        switch (update.scope) {
        case SumScope::Zone:
            return m_zones[update.zone];
        case SumScope::Fleet:
            return m_fleets;
        case SumScope::Node:
            break;
        }
        return m_nodes;
    }

    bool isFresh(const Received& received, SteadyTime now) const { return now - received.receivedAt <= m_options.freshFor; }

    // A relay node that was cut off or has just started may have an incomplete sum.
    const SumUpdate<Value>* mostCompleteOf(const Senders& senders, SteadyTime now) const
    {
        const SumUpdate<Value>* best = nullptr;
        for (const auto& [node, received] : senders) {
            if (isFresh(received, now) && (!best || received.update.nodes > best->nodes))
                best = &received.update;
        }
        return best;
    }

    static void add(Total& total, const SumUpdate<Value>& update)
    {
        total.sum += update.sum;
        total.nodes += update.nodes;
    }

    // Adds the reports of the zone's nodes.
    void addNodes(Total& total, const std::string& zone, SteadyTime now) const
    {
        for (const auto& [node, received] : m_nodes) {
            if (isFresh(received, now) && received.update.zone == zone)
                add(total, received.update);
        }
    }

    Total zoneTotal(SteadyTime now) const
    {
        Total total { .sum = m_own };
        addNodes(total, m_options.zone, now);
        return total;
    }

    // Of another zone, either the sum that its relay node sent counts or the reports of its nodes: they may all be received while a fleet
    // grows to the size that needs relay nodes.
    Total fleetTotal(SteadyTime now) const
    {
        auto total = zoneTotal(now);
        std::set<std::string> zones;
        for (const auto& [node, received] : m_nodes)
            zones.insert(received.update.zone);
        for (const auto& [zone, relays] : m_zones)
            zones.insert(zone);
        zones.erase(m_options.zone);
        for (const auto& zone : zones) {
            auto relays = m_zones.find(zone);
            const auto* best = relays == m_zones.end() ? nullptr : mostCompleteOf(relays->second, now);
            if (best)
                add(total, *best);
            else
                addNodes(total, zone, now);
        }
        return total;
    }

    SumUpdate<Value> makeUpdate(SumScope scope, Total total)
    {
        return { .node = m_options.node, .lifetime = m_options.lifetime, .sequence = ++m_sequence, .zone = m_options.zone, .scope = scope, .nodes = total.nodes, .sum = std::move(total.sum) };
    }

    RelayedSumOptions m_options;
    std::uint32_t m_sequence { 0 };
    Value m_own {};
    Senders m_nodes {}; // Reports of single nodes. In a fleet with relay nodes, only a relay node receives any, from its zone.
    std::map<std::string, Senders> m_zones {}; // Sums by zone, then by the relay node that sent them.
    Senders m_fleets {}; // Sums of all zones, by relay node.
};

} // namespace Onyxnotch
