// Token bucket of one team's limit, as seen by the nodes that can reach each other. Nodes that are silent may be cut off and go on admitting
// requests, so their share of the level and of the refill is kept apart in a reserve until they report again. A pure state machine with the
// time passed in. Not thread-safe.
#pragma once

#include "core/clock.h"
#include <deque>

namespace Onyxnotch {

struct TeamBucketOptions {
    // How long past levels are kept: longer than it takes to learn that a node is silent.
    Milliseconds historySpan { 5000 };
    // Maximum debt, in seconds of the rate; debt beyond it is dropped.
    double maximumDebtSeconds { 8 };
};

class TeamBucket {
public:
    TeamBucket(double level, SteadyTime now, const TeamBucketOptions& options = {});

    // Sets the team's limit. Until it is known, the bucket is not refilled.
    void setLimit(double ratePerSecond, double burst);
    // Refills for the time since the last call and charges `spent` for the same time. Only the difference is limited to the burst.
    void advance(double spent, SteadyTime now);
    // Keeps the present level for setSilentShare(). Call when reports of other nodes have been charged.
    void keepLevel();
    void charge(double amount);
    // Sets the share of all nodes that is silent (0 to 1). For nodes that have become silent, `silence` is the time since their last report:
    // the level becomes what it would be if their share had been kept apart since then. For nodes that report again, their share is added
    // back; what they spent is charged by their reports.
    void setSilentShare(double share, Milliseconds silence, SteadyTime now);

    // Replaces the level, of all nodes together, by one that another node knows.
    void setLevelOfAll(double level);

    double level() const { return m_level; }
    // The level with what is kept apart for silent nodes.
    double levelOfAll() const { return m_level + m_reserve; }
    double silentShare() const { return m_silentShare; }

private:
    struct Sample {
        SteadyTime at {};
        double level { 0 };
        double share { 1 }; // Share of all nodes that the level is for.
        double spent { 0 }; // Amount charged until then.
    };

    double share() const { return 1 - m_silentShare; }
    void limitLevel();
    void reserveShare(double newShare, Milliseconds silence, SteadyTime now);
    // Index of the latest sample from `time` or before, or of the oldest one.
    std::size_t sampleBefore(SteadyTime time) const;

    TeamBucketOptions m_options;
    double m_level;
    double m_ratePerSecond { 0 };
    double m_burst { 0 };
    double m_silentShare { 0 };
    double m_reserve { 0 }; // What the silent nodes may have spent since their last reports.
    double m_spent { 0 };
    SteadyTime m_updatedAt;
    std::deque<Sample> m_samples {}; // Oldest first.
};

} // namespace Onyxnotch
