// Enforces the rate limits of teams over all nodes. A pure state machine that receives the totals each node reports to have admitted; the
// current time is passed in. Not thread-safe.
#pragma once

#include "core/clock.h"
#include "core/sliding_maximum.h"
#include "modules/limits/spending_pace.h"
#include "modules/limits/team_bucket.h"
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
    // A peer without reports for this duration is removed, and its share goes to the other nodes. If more than `forgettableShare` of all nodes
    // are silent, they may be cut off together and would use the complete limit as well: then only after `forgetManyAfter`.
    Milliseconds forgetAfter { 20000 };
    double forgettableShare { 0.15 };
    Milliseconds forgetManyAfter { 120000 };
    // Startup phase, within which the counters of all peers should arrive: eight gossip periods. Until it ends, a node spends only the
    // even shares of itself and of the peers that have reported.
    Milliseconds startupPhase { 2000 };
    // Number of nodes in the fleet including this one, until the store provides it. The users' sites have nine.
    unsigned expectedNodes { 10 };
    // A large request may overdraw the level by several seconds of the rate. Meanwhile small requests, each below `smallRequestShare` of
    // one second's rate, are admitted down to a debt of `smallDebtSeconds` of the rate, and of 0.3 of the tolerance if there is one. They
    // are charged like all others, so the average rate stays the same.
    double smallRequestShare { 0.01 };
    double smallDebtSeconds { 0.75 };
    TeamLimitTolerance tolerance {};
    // Shares of the tolerance, by its two parts, that admissions may use. The remainder covers the last request of each node, which may
    // exceed what is left, nodes that start, and reports that are lost.
    double usedOvershoot { 0.25 };
    double usedSlack { 0.8 };
    // What all nodes together may use at their start, before they know what was admitted earlier: a share of the tolerance that admissions
    // leave unused, so that a burst and a restart in the same window keep within the tolerance, and the rate of some seconds, since nothing
    // is admitted while processes are down. A share of the rate is added until the end of the startup phase. Most of it at once: requests
    // that come together at one node before the nodes know of each other can be admitted from nothing else.
    double startTolerance { 1 };
    double startSeconds { 1 };
    double startRefill { 0.2 };
    // Of a node's even share of the burst: by how much one request may exceed the node's start reserve without a draw, and the largest debt
    // of the reserve. Debt beyond that is dropped.
    double startOverdraw { 0.15 };
    double startDebtLimit { 0.1 };
    // Share of the tolerance that a starting node assumes to be in use, besides the complete burst.
    double assumedDebt { 0.05 };
    // What a request far above the average counts towards the pace, as a share of a node's even share of the burst (see SpendingPace).
    double largeRequestShare { 0.2 };
    // With relay nodes: time from a node's last row until the other nodes learn that it is silent. Six gossip periods until a relay node
    // detects it, and three for the aggregates.
    Milliseconds silenceDetectedAfter { 2250 };
    // Time until peers know what this node admitted, at most: three gossip periods, through two relay nodes.
    Milliseconds propagationTime { 750 };
    // Share of the pace that is divided evenly over the nodes. The remainder is divided by demand, which is unknown for a node that gets
    // its first requests of a team.
    double evenPaceShare { 0.5 };
    std::uint32_t randomSeed { std::random_device {}() }; // Seed for the draws that admit requests which exceed this node's share.
};

// What a node knows of a team when it decides on a request; amounts in the unit of the limit.
struct TeamLimitState {
    double level { 0 }; // What this node and those that it reaches may still admit, as far as others have reported.
    double unknownToOthers { 0 }; // Amount that this node admitted and that the others cannot know yet.
    double estimatedUnreported { 0 }; // Estimate of what the others have admitted since their last reports.
    double share { 0 }; // This node's share of the level (0 to 1).
    double silentShare { 0 }; // Share of all nodes that do not report (0 to 1).
    Milliseconds reportAge { 0 }; // Time since the last report of any other node.

    bool operator==(const TeamLimitState&) const = default;
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
    // The following durations depend on how often a peer reports.
    void setFreshFor(Milliseconds freshFor) { m_options.freshFor = freshFor; }
    void setStartupPhase(Milliseconds startupPhase) { m_options.startupPhase = startupPhase; }
    void setPropagationTime(Milliseconds propagationTime) { m_options.propagationTime = propagationTime; }
    void setSilenceDetectedAfter(Milliseconds duration) { m_options.silenceDetectedAfter = duration; }
    void setTolerance(const TeamLimitTolerance& tolerance) { m_options.tolerance = tolerance; }
    // Sets the best known number of nodes, including this one. From then on a node that has not received any report has only its even share.
    void setExpectedNodes(unsigned nodes);
    // Levels of the teams, for nodes that have just started. Without those of which this node does not know what was admitted before its start.
    std::map<std::string, double> levels(SteadyTime now) const;
    // Replaces what this node assumed at its start by the levels that a node from before knows. Its start reserve ends with that. Returns
    // whether these are the first ones; after the startup phase they are ignored.
    bool onPeerLevels(const std::map<std::string, double>& levels, SteadyTime now);
    // State at the last decision on a request of the team. Empty if there was none.
    std::optional<TeamLimitState> state(const TrafficTeam&, SteadyTime now) const;
    // Totals that this node admitted, to be sent to its peers.
    const std::map<std::string, double>& ownTotals() const { return m_ownTotals; }

private:
    struct PeerUse {
        double total { 0 };
        std::optional<double> perSecond { 0 }; // No value if there was only one report yet.
        double charged { 0 }; // Amount of this incarnation that is already charged to the bucket.
        AverageRate average {};
        double unratedAmount { 0 }; // Growth that `perSecond` does not include yet,
        double unratedSeconds { 0 }; // and the time since it was last updated.

        void updateRate(double newTotal, double elapsedSeconds, bool isStartingUp);
    };

    struct Peer {
        std::uint64_t lifetime { 0 };
        double nodes { 1 }; // Number of nodes that this entry represents.
        SteadyTime receivedAt {};
        std::map<std::string, PeerUse> uses {};
    };

    // What a node may admit during the startup phase whatever the others admit: its even share of the tolerance and of the rate.
    struct StartReserve {
        double level { 0 };
        SteadyTime updatedAt {};
    };

    struct Team {
        TeamBucket bucket;
        double ratePerSecond { 0 };
        double burst { 0 };
        double tolerance { 0 }; // Amount above the limit that admissions may use.
        bool isCharged { false }; // Whether the bucket was charged for what peers admitted before.
        SpendingPace pace {};
        SteadyTime paceReportAt {}; // When the report arrived with which the pace was last updated.
        StartReserve startReserve {};
    };

    // A team's level at the time of its report.
    struct ReportedLevel {
        double level { 0 };
        SteadyTime at {};
    };

    // Nodes that do not report, as a share of all (0 to 1), and the time since the reports of those that became silent last.
    struct Silence {
        double share { 0 };
        Milliseconds duration { 0 };
    };

    Team& findOrAdd(const TrafficTeam&, SteadyTime now);
    void advance(const std::string& name, Team&, SteadyTime now);
    void recordFirstReport(SteadyTime now);
    void forgetSilentPeers(SteadyTime now);
    // Sets the number of silent nodes that the relay nodes report, with those that they have forgotten but that may be cut off.
    void updateSilentNodes(unsigned reported, unsigned nodes, unsigned nodesBefore, SteadyTime now);
    // Whether so few nodes are silent that their share may go to the others.
    bool isForgettable(double silentNodes, double allNodes) const { return silentNodes <= allNodes * m_options.forgettableShare; }
    // Charges all buckets with what the peers have reported.
    void chargeReports(SteadyTime now);
    // Amount that the peers reported to have admitted since the last call.
    double takePeerSpending(const std::string& name, Team&, SteadyTime now);
    // Whether the state of the other nodes is still unknown or incomplete.
    bool isStartingUp(SteadyTime now) const;
    // Whether a peer may be cut off. Busy nodes report late; where the pace bounds what this node admits, it waits for them longer.
    bool isSilent(const Peer& peer, SteadyTime now) const { return now - peer.receivedAt > m_options.freshFor * (hasTolerance() ? 2 : 1); }
    double knownNodes() const; // Number of nodes that report or did so until recently, including this one.
    Silence silence(SteadyTime now) const;
    // Share of the rate that may be spent. Below 1 during the startup phase: the share of the reporting nodes and this one.
    double spendableShare(SteadyTime now) const;
    double initialLevel(const TrafficTeam&, SteadyTime now) const;
    bool hasTolerance() const { return m_options.tolerance.overshoot > 0 || m_options.tolerance.slackTokens > 0; }
    // Amount that the platform tolerates above the limit.
    double toleratedAmount(const TrafficTeam&) const;
    // Amount above the limit that admissions may use.
    double usedTolerance(const TrafficTeam&) const;
    // Amount that all nodes may use at once at their start.
    double startAmount(const TrafficTeam& team) const { return (toleratedAmount(team) - usedTolerance(team)) * m_options.startTolerance + team.ratePerSecond * m_options.startSeconds; }
    // Whether another request may be admitted before the peers know what this node admitted last.
    bool isWithinPace(const TrafficTeam&, const Team&, SteadyTime now) const;
    // Returns the part of the amount that the start reserve covered.
    double chargeStartReserve(Team&, double amount) const;
    // What one request counts towards the pace, at most.
    double maximumPaceAmount(const Team&) const;
    // Whether the start reserve admits another request.
    bool isWithinStartReserve(const TrafficTeam&, Team&, double amount, SteadyTime now);
    // This node's share if all nodes that report have the same.
    double evenShare(double silentShare) const;
    SteadyTime latestReportAt() const; // SteadyTime {} if no peer has reported.
    // Time until peers know what this node admitted.
    Milliseconds propagationTime() const;
    // This node's share of what all nodes that report may admit: partly even, partly by demand.
    double paceShare(const std::string& name, const Team&) const;
    // Updates the team's pace with the age of the latest report of any peer.
    void updatePace(Team&, SteadyTime now) const;
    // Level that the bucket must exceed to admit a request of this amount.
    double requiredLevel(const TrafficTeam&, const Team&, double amount, SteadyTime now) const;
    // What the peers admitted since their last reports, by their latest rates.
    double estimateUnreported(const TrafficTeam&, SteadyTime now) const;

    TeamLimitsOptions m_options;
    SteadyTime m_startedAt;
    SteadyTime m_firstReportAt {}; // SteadyTime {} if there was none.
    bool m_isFleetSizeKnown { false };
    std::map<std::string, Team> m_teams {};
    std::map<std::string, double> m_ownTotals {};
    std::map<std::string, Peer> m_peers {};
    std::map<std::string, ReportedLevel> m_startLevels {}; // The lowest ones that nodes from before this node's start have reported.
    bool m_usesFleetTotals { false };
    std::optional<Milliseconds> m_reportInterval {}; // Longest recent interval between reports of relay nodes. Empty if there were no two.
    SlidingMaximum m_recentIntervals {};
    std::minstd_rand m_random;
    double m_silentNodes { 0 }; // As the relay nodes report or reported before.
    SteadyTime m_silentReportedAt {}; // When they last reported as many.
};

} // namespace Onyxnotch
