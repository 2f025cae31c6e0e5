// Number of nodes that share what is divided over the fleet. A node that is cut off hears of fewer nodes than there are, and so do the
// others: parts that are divided by the nodes heard at the moment add up to more than the whole.
#pragma once

#include <algorithm>

namespace Onyxnotch {

class FleetSize {
public:
    // Sets the number of nodes that the store lists, this one included.
    void onListed(unsigned nodes)
    {
        m_isListed = true;
        m_largest = std::max(m_largest, nodes);
    }
    // Sets the number of nodes that this node has heard of lately, itself included. A single one tells nothing: there may be others.
    void onHeard(unsigned nodes)
    {
        m_current = nodes;
        if (nodes > 1)
            m_largest = std::max(m_largest, nodes);
    }

    // Whether the store's list was read or another node was heard of.
    bool isKnown() const { return m_largest > 0; }
    // The most nodes that were known since the start of the process: for limits that nodes must not exceed together even while they are cut
    // off from each other. It does not decrease, since nodes that are gone and nodes that are cut off look alike.
    unsigned largest() const { return m_isListed ? m_largest : std::max(m_largest, leastUnlisted); }
    // The nodes heard of lately: for estimates of what the others use.
    unsigned current() const { return m_current; }

private:
    static constexpr unsigned leastUnlisted = 10; // A node that has just started may have heard of only a few of the others.

    bool m_isListed { false };
    unsigned m_largest { 0 };
    unsigned m_current { 1 };
};

} // namespace Onyxnotch
