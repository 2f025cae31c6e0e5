// The latest row of each other node: a pure state machine, with the time passed in.
#pragma once

#include "core/clock.h"
#include "modules/peers/peer_row.h"
#include <map>
#include <vector>

namespace Onyxnotch {

struct PeerTableOptions {
    Milliseconds silentAfter { 1500 }; // Six gossip periods: then a node is not counted on.
    Milliseconds forgetAfter { 30000 }; // Its usage counts are kept this long: past the report that they belong to.
    std::size_t maximumNodes { 1024 };
};

// Of at least one value; of an even number, the upper one of the two in the middle.
std::int64_t medianOf(std::vector<std::int64_t> values);

class PeerTable {
public:
    PeerTable(std::string self, const PeerTableOptions& options = {});

    // False for a row that is no newer than the one known.
    bool apply(const PeerRow&, SteadyTime now);
    void applyUsage(const UsageNotice&, SteadyTime now);
    // Whether this life of the node has spoken.
    bool hasHeard(const std::string& node, std::uint64_t lifetime) const;
    // A node that another one has named. It is written to, but not counted on before it has spoken.
    void addContact(const PeerContact&, SteadyTime now);
    // As addContact(), said by a relay that heard the node lately: it is not forgotten.
    void refreshContact(const PeerContact&, SteadyTime now);
    void forgetOld(SteadyTime now);

    // Nodes that say that they hold the duties: they need everybody's counts.
    std::vector<PeerContact> dutyHolders() const;
    // Rows of nodes that spoke lately.
    std::vector<const PeerRow*> alive(SteadyTime now) const;
    std::size_t aliveCount(SteadyTime now) const { return alive(now).size(); }
    // Whom to write to: nodes of that zone, and all others.
    std::vector<PeerContact> contactsIn(const std::string& zone) const;
    // By zone, as far as it is known.
    std::map<std::string, std::vector<PeerContact>> contactsByZone() const;
    // Nodes of a zone that spoke once and fell silent, without having said that they leave.
    unsigned silentIn(const std::string& zone, Milliseconds silentFor, SteadyTime now) const;
    // The same of all zones.
    unsigned silent(Milliseconds silentFor, SteadyTime now) const;
    std::vector<PeerContact> contactsOutside(const std::string& zone) const;
    std::vector<PeerContact> contacts() const;
    // A fleet in which a node hears of another one only now and then needs more time before silence means something.
    void setSilentAfter(Milliseconds silentAfter) { m_options.silentAfter = silentAfter; }
    // Usage by window over all other nodes, lives that have ended included.
    WindowCounts usage() const;
    // The median over all nodes of the time of day less this process's monotonic clock, in milliseconds. `own` is this node's: one
    // clock that was stepped does not move the median.
    std::int64_t clockDifference(std::int64_t own, SteadyTime now) const;
    std::vector<std::int64_t> clockDifferences(SteadyTime now) const;

private:
    struct Entry {
        PeerRow row {};
        PeerContact contact {};
        bool spoke { false };
        SteadyTime heardAt {};
        SteadyTime namedAt {}; // By a relay that had heard it.
        std::int64_t clockDifference { 0 }; // Its time of day less our monotonic clock, when the row came.
        std::map<std::uint64_t, WindowCounts> usageOfLives {}; // By lifetime.
    };

    bool isSilent(const Entry&, Milliseconds silentFor, SteadyTime now) const;

    std::string m_self;
    PeerTableOptions m_options;
    std::map<std::string, Entry> m_entries {};
};

} // namespace Onyxnotch
