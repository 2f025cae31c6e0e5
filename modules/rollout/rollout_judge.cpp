#include "modules/rollout/rollout_judge.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    std::uint32_t growth(std::uint32_t now, std::uint32_t before) { return now > before ? now - before : 0; }

    // Of the new answers, how much more probable they are from a version that is worse than from one that is as good as the old one.
    double logLikelihoodRatio(const TrialCounts& old, std::uint32_t good, std::uint32_t bad, const RolloutJudgeOptions& options)
    {
        constexpr double mostBadPart = 0.98;
        auto usual = (old.bad + options.assumedBad) / (old.good + old.bad + options.assumedTrials);
        usual = std::clamp(usual, options.leastBadPart, mostBadPart - options.excessPart);
        auto worse = usual + options.excessPart;
        return bad * std::log(worse / usual) + good * std::log((1 - worse) / (1 - usual));
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

RolloutVerdict RolloutJudge::update(const std::map<std::string, RouteEvidence>& evidence)
{
    double most = 0;
    for (const auto& [name, counts] : evidence) {
        auto& route = m_routes[name];
        auto good = growth(counts.target.good, route.seen.good);
        auto bad = growth(counts.target.bad, route.seen.bad);
        route.seen = counts.target;
        auto change = logLikelihoodRatio(counts.old, good, bad, m_options);
        route.suspicion = std::max(0.0, route.suspicion + change);
        m_suspicion = std::max(0.0, m_suspicion + change);
        m_innocence -= change;
        most = std::max(most, route.suspicion);
    }
    most = std::max(most, m_suspicion);
    m_isBad = m_isBad || most >= m_options.convictAt;
    if (m_isBad)
        return RolloutVerdict::Bad;
    bool isGood = m_innocence >= m_options.acquitAt && most < m_options.doubtAbove;
    return isGood ? RolloutVerdict::Good : RolloutVerdict::Open;
}

} // namespace Onyxnotch
