#include "modules/rollout/rollout_evaluator.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    std::uint32_t increaseOf(std::uint32_t now, std::uint32_t before) { return now > before ? now - before : 0; }

    // Logarithm of how much more probable the `good` and `bad` answers are from a worse version than from one that is as good as the old
    // one.
    double logLikelihoodRatio(const TrialCounts& old, std::uint32_t good, std::uint32_t bad, const RolloutEvaluatorOptions& options)
    {
        constexpr double maximumBadShare = 0.98;
        auto oldBadShare = (old.bad + options.priorBad) / (old.good + old.bad + options.priorAnswers);
        oldBadShare = std::clamp(oldBadShare, options.minimumBadShare, maximumBadShare - options.excessBadShare);
        auto worseBadShare = oldBadShare + options.excessBadShare;
        return bad * std::log(worseBadShare / oldBadShare) + good * std::log((1 - worseBadShare) / (1 - oldBadShare));
    }

} // namespace

std::map<std::string, RouteEvidence> evidenceOf(const VersionTrials& trials, const std::string& service, const std::string& target)
{
    std::map<std::string, RouteEvidence> evidence;
    for (const auto& [key, counts] : trials) {
        if (key.service != service)
            continue;
        auto& route = evidence[key.route];
        (key.version == target ? route.target : route.old) += counts;
    }
    return evidence;
}

RolloutVerdict RolloutEvaluator::update(const std::map<std::string, RouteEvidence>& evidence)
{
    double highestEvidence = 0;
    for (const auto& [name, counts] : evidence) {
        auto& route = m_routes[name];
        auto good = increaseOf(counts.target.good, route.counted.good);
        auto bad = increaseOf(counts.target.bad, route.counted.bad);
        route.counted = counts.target;
        auto change = logLikelihoodRatio(counts.old, good, bad, m_options);
        route.badEvidence = std::max(0.0, route.badEvidence + change);
        m_badEvidence = std::max(0.0, m_badEvidence + change);
        m_goodEvidence -= change;
        highestEvidence = std::max(highestEvidence, route.badEvidence);
    }
    highestEvidence = std::max(highestEvidence, m_badEvidence);
    m_isBad = m_isBad || highestEvidence >= m_options.badThreshold;
    if (m_isBad)
        return RolloutVerdict::Bad;
    bool isGood = m_goodEvidence >= m_options.goodThreshold && highestEvidence < m_options.doubtThreshold;
    return isGood ? RolloutVerdict::Good : RolloutVerdict::Open;
}

} // namespace Onyxnotch
