// Aggregation of counters that only grow, over several nodes and from several sources. Pure state machines with the time passed in.
//
// An aggregated total lacks an unknown constant: what was counted before the aggregation began. Readers must use its growth, not its value.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <map>
#include <string>

namespace Onyxnotch {

using TotalsByName = std::map<std::string, double>;

// Adds up the growth of several nodes' counters since the construction of this object.
class AggregatedTotals {
public:
    explicit AggregatedTotals(SteadyTime startedAt)
        : m_startedAt(startedAt)
    {
    }

    // Updates with the totals that a node reports for its incarnation; `age` is the time since that incarnation's start. If it started
    // before this object was constructed, only growth from now on counts, because other aggregators have counted the earlier part.
    void update(const std::string& node, std::uint64_t lifetime, Milliseconds age, const TotalsByName& totals, SteadyTime now);
    const TotalsByName& totals() const { return m_totals; }

private:
    struct Node {
        std::uint64_t lifetime { 0 };
        TotalsByName highest {};
    };

    SteadyTime m_startedAt;
    std::map<std::string, Node> m_nodes {};
    TotalsByName m_totals {};
};

// Merges the totals that several sources aggregated over the same nodes. Each source gets an offset at its first report, so that it starts
// at the current merged total; from then on the highest value counts, since a lower one misses some reports.
class MergedTotals {
public:
    // Updates with the totals of one source. `realign`: the source aggregates other nodes than before, so its offset is computed again.
    void update(const std::string& source, std::uint64_t lifetime, bool realign, const TotalsByName& totals);
    const TotalsByName& totals() const { return m_totals; }

private:
    struct Source {
        std::uint64_t lifetime { 0 };
        TotalsByName offsets {};
    };

    std::map<std::string, Source> m_sources {};
    TotalsByName m_totals {};
};

} // namespace Onyxnotch
