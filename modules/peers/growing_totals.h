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

namespace detail {

    // A source without a report for longer has failed: four gossip periods.
    constexpr Milliseconds sourceTimeout { 1000 };
    // Replacements of failed sources report within this time. If there is no report for longer, this node itself was cut off.
    constexpr Milliseconds maximumLostSpan { 3000 };
    constexpr double growthAveragingSeconds = 1;

} // namespace detail

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
//
// If the sources that are ahead fail, the ones that replace them have missed reports. A source that is behind then starts at the current
// merged total again, and what was reported to the failed ones last is estimated by the rate before.
class MergedTotals {
public:
    // Updates with the totals of one source. `realign`: the source aggregates other nodes than before, so its offset is computed again.
    void update(const std::string& source, std::uint64_t lifetime, bool realign, const TotalsByName& totals, SteadyTime now);
    const TotalsByName& totals() const { return m_totals; }

private:
    struct Source {
        std::uint64_t lifetime { 0 };
        TotalsByName offsets {};
    };

    // The source that was ahead last.
    struct Leader {
        SteadyTime reportedAt {};
        double perSecond { 0 }; // Growth of the merged total.
    };

    void updateTotal(const std::string& name, double total, bool isAligned, double& offset, SteadyTime now);
    static bool hasFailed(const Leader& leader, SteadyTime now) { return now - leader.reportedAt > detail::sourceTimeout; }
    static double estimateLost(const Leader&, SteadyTime now);

    std::map<std::string, Source> m_sources {};
    TotalsByName m_totals {};
    std::map<std::string, Leader> m_leaders {}; // By the name of the total.
};

} // namespace Onyxnotch
