// Stores the latest row, contact and usage counts of each other node. Pure state machine with the time passed in.
#pragma once

#include "core/clock.h"
#include "modules/peers/peer_row.h"
#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace Onyxnotch {

struct PeerTableOptions {
    Milliseconds silentAfter { 1500 }; // Six gossip periods without a row: the node no longer counts as alive.
    Milliseconds forgetAfter { 30000 }; // Then a node's entry is removed; long enough for its usage counts to be in their usage report.
    // Bounds the memory that senders of made-up names can take. Nodes that the store lists raise it, see setListedNodes().
    std::size_t maximumNodes { 2048 };
};

// Median of at least one value; for an even number of values, the upper of the two middle ones.
std::int64_t medianOf(std::vector<std::int64_t> values);

class PeerTable {
public:
    PeerTable(std::string self, const PeerTableOptions& options = {});

    // Stores the row. Returns false if it is not newer than the stored one, comes from this node itself, or the table is full.
    bool apply(const PeerRow&, SteadyTime now);
    void applyUsage(const UsageNotice&, SteadyTime now);
    // Whether a row of this incarnation of the node, or of a later one, was received.
    bool hasReceivedRow(const std::string& node, std::uint64_t lifetime) const;
    // Adds a node whose address was received from another node. Rows are sent to it, but it counts as alive only after a row of its own.
    void addContact(const PeerContact&, SteadyTime now);
    // As addContact(), for a contact from a relay node that received a recent row of the node: also keeps its entry from being removed.
    void refreshContact(const PeerContact&, SteadyTime now);
    void purgeExpired(SteadyTime now);
    // Sets the number of nodes that the store lists: twice as many fit into the table, since removed nodes are kept for a while.
    void setListedNodes(std::size_t nodes) { m_options.maximumNodes = std::max(m_options.maximumNodes, 2 * nodes); }
    // Number of rows, contacts and usage counts that were refused because the table is full.
    std::uint64_t refused() const { return m_refused; }
    // Number of nodes in the table.
    std::size_t size() const { return m_entries.size(); }

    // The node's contact; empty if it is not in the table.
    std::optional<PeerContact> contactOf(const std::string& node) const;
    // Nodes whose row says that they hold the singleton duties: they need the usage counts of all nodes.
    std::vector<PeerContact> dutyHolders() const;
    // Rows of the nodes from which one was received within `silentAfter`.
    std::vector<const PeerRow*> alive(SteadyTime now) const { return heardWithin(m_options.silentAfter, now); }
    std::vector<const PeerRow*> heardWithin(Milliseconds duration, SteadyTime now) const;
    std::size_t aliveCount(SteadyTime now) const { return alive(now).size(); }
    // Contacts of the nodes in that zone.
    std::vector<PeerContact> contactsIn(const std::string& zone) const;
    // Contacts by zone, without nodes whose zone is unknown.
    std::map<std::string, std::vector<PeerContact>> contactsByZone() const;
    // Number of nodes of a zone from which rows were received, but none for more than `silentAfter` and up to `silentFor`; leaving nodes
    // excluded.
    unsigned silentIn(const std::string& zone, Milliseconds silentFor, SteadyTime now) const;
    // As silentIn(), over all zones.
    unsigned silent(Milliseconds silentFor, SteadyTime now) const;
    std::vector<PeerContact> contactsOutside(const std::string& zone) const;
    std::vector<PeerContact> contacts() const;
    // Changes the time without a row after which a node counts as silent. A fleet in which a node receives only some of the rows of the
    // others needs a longer one.
    void setSilentAfter(Milliseconds silentAfter) { m_options.silentAfter = silentAfter; }
    // Usage counts by window and team over all other nodes, including their ended incarnations.
    WindowCounts usage() const;
    // Median over all nodes of their time of day minus this process's monotonic clock, in milliseconds. `own` is this node's difference.
    // The median keeps a single clock that was stepped from having an effect.
    std::int64_t clockDifference(std::int64_t own, SteadyTime now) const;
    std::vector<std::int64_t> clockDifferences(SteadyTime now) const;

private:
    struct Entry {
        PeerRow row {};
        PeerContact contact {};
        bool hasRow { false };
        SteadyTime lastSeenAt {};
        SteadyTime confirmedByRelayAt {}; // Last time a relay node reported a recent row of the node.
        std::int64_t clockDifference { 0 }; // Node's time of day minus own monotonic clock at receipt of the row, in milliseconds.
        std::map<std::uint64_t, WindowCounts> usageByIncarnation {}; // By lifetime.
    };

    bool isSilent(const Entry&, Milliseconds silentFor, SteadyTime now) const;
    // Whether the node is in the table or there is room for it. Counts the refusal otherwise.
    bool hasRoomFor(const std::string& node);

    std::string m_self;
    PeerTableOptions m_options;
    std::map<std::string, Entry> m_entries {};
    std::uint64_t m_refused { 0 };
};

} // namespace Onyxnotch
