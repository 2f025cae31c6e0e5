// Number of nodes that share what is divided over the fleet. A node that is cut off hears of fewer nodes than there are, and so do the
// others: parts that are divided by the nodes heard at the moment add up to more than the whole.
#pragma once

#include <algorithm>

namespace Onyxnotch {

// All numbers include this node.
class FleetSize {
public:
    // Sets the number of nodes that the store lists.
    void onListed(unsigned nodes)
    {
        m_listed = nodes;
        m_largest = std::max(m_largest, nodes);
    }
    // Sets the number of nodes in the table of peers, which remembers for a while those that were named or heard. 1 tells nothing: there may
    // be others.
    void onNamed(unsigned nodes)
    {
        m_named = nodes;
        raise(nodes);
    }
    // Sets the number of nodes whose state was received lately, directly or in a sum of a relay node.
    void onHeard(unsigned nodes)
    {
        m_heard = nodes;
        raise(nodes);
    }

    // Whether the store's list was read or another node is known.
    bool isKnown() const { return m_largest > 0; }
    // The nodes known at the moment: for estimates of what the others use.
    unsigned current() const { return std::max(m_named, m_heard); }
    // The nodes that may report: those known at the moment or listed. Entries of nodes that were removed for good stay in the list.
    unsigned expected() const { return std::max({ current(), m_listed, m_listed == 0 ? leastUnlisted : 1 }); }
    // The most nodes known since the start of the process: for limits that nodes must not exceed together even while they are cut off from
    // each other. It does not decrease, since nodes that are gone and nodes that are cut off look alike.
    unsigned largest() const { return std::max(m_largest, expected()); }

private:
    static constexpr unsigned leastUnlisted = 10; // A node that has just started may know only a few of the others.

    void raise(unsigned nodes)
    {
        if (nodes > 1)
            m_largest = std::max(m_largest, nodes);
    }

    unsigned m_listed { 0 }; // 0 before the list was read.
    unsigned m_named { 1 };
    unsigned m_heard { 1 };
    unsigned m_largest { 0 };
};

} // namespace Onyxnotch
