// Enforces the rate limits of teams over all nodes. A pure state machine that receives the totals each node reports to have admitted; the
// current time is passed in. Not thread-safe.
#pragma once

#include "core/clock.h"
#include "modules/limits/spending_pace.h"
#include "modules/traffic/traffic_configuration.h"
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Onyxnotch {

// What the platform tolerates above a limit: in any `window` a team may use `overshoot` times (rate * window + burst) more, and for a limit
// in tokens `slackTokens` in addition. If both are 0, nodes neither pace their admissions nor have a reserve at the start.
struct TeamLimitTolerance {
    double overshoot { 0 };
    double slackTokens { 0 };
    Milliseconds window { 8000 };

    bool operator==(const TeamLimitTolerance&) const = default;
};

struct TeamLimitsOptions {
    Milliseconds freshFor { 750 }; // Reported counters of a peer count as current for this duration: three gossip periods.
    Milliseconds forgetAfter { 20000 }; // A peer without reports for this duration is removed, and its share goes to the other nodes.
    // Startup phase, within which the counters of all peers should arrive: eight gossip periods. Until it ends, a node spends only the
    // even shares of itself and of the peers that have reported.
    Milliseconds startupPhase { 2000 };
    // Number of nodes in the fleet including this one, until the store provides it. The users' sites have nine.
    unsigned expectedNodes { 10 };
    // A large request may overdraw the level by several seconds of the rate. Meanwhile small requests, each below `smallRequestShare` of
    // one second's rate, are admitted down to a debt of `smallDebtSeconds` of the rate. They are charged like all others, so the average
    // rate stays the same. This applies only while all peers report: nodes that are cut off from each other would each accumulate such a
    // debt.
    double smallRequestShare { 0.01 };
    double smallDebtSeconds { 0.75 };
    // Maximum debt, in seconds of the rate. The level falls below zero because an admitted request is charged in full even if it exceeds
    // the level, and because requests that peers admitted are charged only afterwards. Debt beyond the maximum is dropped.
    double maximumDebtSeconds { 8 };
    TeamLimitTolerance tolerance {};
    // Share of the tolerance that admissions may use. The remainder covers the last request of each node, which may exceed what is
    // left, and nodes that are cut off while they still have a part of the burst.
    double usedTolerance { 0.8 };
    // Time until peers know what this node admitted: three gossip periods, through two relay nodes.
    Milliseconds propagationTime { 750 };
    // Share of the pace that is divided evenly over the nodes. The remainder is divided by demand, which is unknown for a node that gets
    // its first requests of a team.
    double evenPaceShare { 0.5 };
    // Factor on the chance that a node's first request is admitted although it exceeds the node's share. Not all nodes have requests at the
    // same moment, so their unused shares cover some of it.
    double firstRequestFactor { 3 };
    std::uint32_t randomSeed { std::random_device {}() }; // Seed for the draws that admit requests which exceed this node's share.
};

class TeamLimits {
public:
    TeamLimits(SteadyTime startedAt, const TeamLimitsOptions& options = {});

    // Charges `amount` and returns nothing if the request is admitted. Otherwise returns the delay after which the client may retry.
    std::optional<Milliseconds> admit(const TrafficTeam&, double amount, SteadyTime now);
    // Refunds the amount of a request that was admitted but did not run.
    void refund(const std::string& team, double amount);
    // Records the totals that a peer reports for its current incarnation. `lifetime` identifies the incarnation and `age` is its uptime.
    void onPeerTotals(const std::string& node, std::uint64_t lifetime, Milliseconds age, const std::map<std::string, double>& totals, SteadyTime now);
    // Records the aggregate of all other nodes of a large fleet, as of `receivedAt`. `totals` comes from `nodes` reporting nodes, and
    // only its growth counts. `silentNodes` reported until recently: they may be cut off and still admit their share. After the first
    // call, reports of single peers are ignored.
    void onFleetTotals(unsigned nodes, unsigned silentNodes, const std::map<std::string, double>& totals, SteadyTime receivedAt);
    // For fleets in which a peer reports less often than each gossip period.
    void setFreshFor(Milliseconds freshFor) { m_options.freshFor = freshFor; }
    void setStartupPhase(Milliseconds startupPhase) { m_options.startupPhase = startupPhase; }
    void setPropagationTime(Milliseconds propagationTime) { m_options.propagationTime = propagationTime; }
    void setTolerance(const TeamLimitTolerance& tolerance) { m_options.tolerance = tolerance; }
    // Sets the best known number of nodes, including this one.
    void setExpectedNodes(unsigned nodes) { m_options.expectedNodes = nodes; }
    unsigned expectedNodes() const { return m_options.expectedNodes; }
    // Totals that this node admitted, to be sent to its peers.
    const std::map<std::string, double>& ownTotals() const { return m_ownTotals; }

private:
    struct PeerUse {
        double total { 0 };
        std::optional<double> perSecond { 0 }; // No value if there was only one report yet.
        double charged { 0 }; // Amount of this incarnation that is already charged to the bucket.
        double unreported { 0 }; // Estimated amount from periods without reports that no reported total includes.
        AverageRate average {};

        void updateRate(double newTotal, double elapsedSeconds);
    };

    struct Peer {
        std::uint64_t lifetime { 0 };
        double nodes { 1 }; // Number of nodes that this entry represents.
        SteadyTime receivedAt {};
        std::map<std::string, PeerUse> uses {};
    };

    struct Bucket {
        double level { 0 };
        double ratePerSecond { 0 };
        double burst { 0 };
        double tolerance { 0 }; // Amount above the limit that admissions may use.
        SteadyTime updatedAt {};
        SpendingPace pace {};
        SteadyTime paceReportAt {}; // When the report arrived with which the pace was last updated.
        bool isInitialized { false };
    };

    void advance(const std::string& team, Bucket&, SteadyTime now);
    bool isStartingUp(SteadyTime now) const { return now - m_startedAt < m_options.startupPhase; }
    double reportingNodes() const; // Number of reporting nodes, including this one.
    // Share of the rate that may be spent. Below 1 during the startup phase: the share of the reporting nodes and this one.
    double spendableShare(SteadyTime now) const;
    // Share of the rate that is not set aside for silent nodes.
    double reportingShare() const { return m_silentNodes > 0 ? reportingNodes() / (reportingNodes() + m_silentNodes) : 1; }
    double initialLevel(const TrafficTeam&, SteadyTime now) const;
    bool hasTolerance() const { return m_options.tolerance.overshoot > 0 || m_options.tolerance.slackTokens > 0; }
    // Amount above the limit that admissions may use.
    double usableTolerance(const TrafficTeam&) const;
    // Whether another request may be admitted before the peers know what this node admitted last.
    bool isWithinPace(const TrafficTeam&, const Bucket&, double amount, SteadyTime now);
    double evenShare() const; // This node's share if all nodes have the same.
    // Charges what the nodes that have become silent may admit without the others' knowledge.
    // Charges all buckets once for each node that became silent within the last `forgetAfter`.
    void chargeSilentNodes(double silentNodes, double allNodes, SteadyTime now);
    SteadyTime latestReportAt() const; // SteadyTime {} if no peer has reported.
    // This node's share of what all nodes may admit: partly even, partly by demand.
    double paceShare(const std::string& team, const Bucket&) const;
    // Updates the bucket's pace with the age of the latest report of any peer.
    void updatePace(Bucket&, SteadyTime now) const;
    // Whether the level admits a request that requires the level to exceed `required`.
    bool isLevelSufficient(const Bucket&, double required, SteadyTime now);
    bool allPeersReport(SteadyTime now) const;
    // Level that the bucket must exceed to admit a request of this amount.
    double requiredLevel(const TrafficTeam&, double amount, SteadyTime now) const;
    double expectedTotal(const Peer&, const PeerUse&, double ratePerSecond, SteadyTime now) const;

    TeamLimitsOptions m_options;
    SteadyTime m_startedAt;
    std::map<std::string, Bucket> m_buckets {};
    std::map<std::string, double> m_ownTotals {};
    std::map<std::string, Peer> m_peers {};
    bool m_usesFleetTotals { false };
    double m_silentNodes { 0 };
    double m_chargedSilentNodes { 0 }; // Silent nodes whose share of the burst has been charged,
    SteadyTime m_silentChargedAt {}; // and when that was last done.
    std::minstd_rand m_random;
};

} // namespace Onyxnotch
