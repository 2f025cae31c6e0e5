// Decides by a sequential probability ratio test, per route and over all routes, whether a service's new version answers worse than the old
// version does in the same period. Pure, without I/O.
#pragma once

#include "modules/rollout/version_update.h"
#include <string>

namespace Onyxnotch {

struct RolloutEvaluatorOptions {
    // The new version is worse if its share of answers that fail or are several times slower exceeds that of the old version by this much.
    // A smaller excess takes longer to detect, and an excess of a twentieth is within the normal variation between endpoints.
    double excessBadShare { 0.15 };
    // Thresholds of the logarithm of the likelihood ratio of the observations. From badThreshold on, the version counts as worse; with a
    // lower value, a good version with several routes is occasionally judged bad.
    double badThreshold { 9 };
    // From this on in its favour, a version counts as good. One in a hundred versions that are worse throughout reaches it.
    double goodThreshold { 4.6 };
    double doubtThreshold { 3 }; // No version counts as good while the evidence against it, on any route or in total, is at least this.
    // Prior for the old version's failures on a route: priorBad of priorAnswers answers, added to the observed counts.
    double priorAnswers { 20 };
    double priorBad { 2 };
    // Lower bound of the old version's share of bad answers: a single failure among a thousand answers is no evidence.
    double minimumBadShare { 0.01 };
};

enum class RolloutVerdict {
    Open, // Not enough evidence yet.
    Good,
    Bad,
};

// Counts of both versions on one route since they began to run side by side.
struct RouteEvidence {
    TrialCounts old {};
    TrialCounts target {};
};

// Collects a service's counts by route: `target` for the target version, `old` for the sum of all other versions.
std::map<std::string, RouteEvidence> evidenceOf(const VersionTrials&, const std::string& service, const std::string& target);

class RolloutEvaluator {
public:
    explicit RolloutEvaluator(const RolloutEvaluatorOptions& options = {})
        : m_options(options)
    {
    }

    // Takes the current totals and evaluates their increase since the last call. Totals decrease when a node shuts down, which only loses
    // evidence. A version that turns bad later is detected as fast as one that is bad from the start. Bad is final.
    RolloutVerdict update(const std::map<std::string, RouteEvidence>&);

private:
    struct RouteState {
        TrialCounts counted {}; // Totals of the target version at the last update.
        // Evidence that the version is worse on this route. Never below 0, so that earlier good answers don't offset later bad ones.
        double badEvidence { 0 };
    };

    std::map<std::string, RouteState> m_routes {};
    double m_badEvidence { 0 }; // The same over all routes.
    double m_goodEvidence { 0 }; // Evidence that the version is not worse, over all routes since the start.
    bool m_isBad { false };
    RolloutEvaluatorOptions m_options;
};

} // namespace Onyxnotch
