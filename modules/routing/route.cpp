#include "modules/routing/route.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr double secondsPerHour = 3600;
    // Relative increase of a candidate's cost per second of expected time to the first token.
    constexpr double latencyWeight = 0.5;
    // An engine with at most this expected wait and less than this fraction of its slots in use may start a request that takes longer than
    // its objective in any case.
    constexpr double idleWaitSeconds = 0.005;
    constexpr double maxBusySlotFraction = 0.5;
    constexpr auto noEndpoint = "no endpoint serves this model";
    // The remaining fraction of the objective is a reserve for what the estimate does not cover: network time and the delay of load
    // reports.
    constexpr double usableObjectiveFraction = 0.7;

    unsigned estimatedRequests(const EndpointLoad& load)
    {
        // Reports are delayed, so the result is at least the number of this node's own requests.
        return std::max(load.reportedRunning + load.reportedQueued + load.addedSinceReport, load.ownInFlight);
    }

    // Price of the engine time that the request uses, plus the expected price of repeating work after a reclaim. A prefill occupies the
    // whole engine; a generation shares it with the other slots.
    double expectedCost(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
    {
        double prefill = uncachedTokens(candidate, request, options) / options.prefillTokensPerSecond;
        double generation = request.expectedTokens * options.tokenSeconds;
        double pricePerSecond = candidate.endpoint.pricePerHour / secondsPerHour;
        double cost = pricePerSecond * (prefill + generation / options.batchSlots);
        if (candidate.endpoint.market != Market::Reclaimable)
            return cost;
        double duration = prefill + generation;
        double reclaimProbability = std::min(1.0, options.reclaimsPerHour * duration / secondsPerHour);
        // On average a reclaim happens halfway through the request, and the complete prompt has to be prefilled again.
        double lostSeconds = request.promptTokens / options.prefillTokensPerSecond + duration / 2;
        return cost + options.recomputeWeight * reclaimProbability * lostSeconds * pricePerSecond;
    }

    RouteDecision decisionFor(std::size_t candidate, const std::string& reason)
    {
        return { .candidate = candidate, .reason = reason };
    }

    RouteDecision chooseRandom(const std::vector<RouteCandidate>& candidates, std::uint64_t random)
    {
        return candidates.empty() ? RouteDecision { .reason = noEndpoint } : decisionFor(random % candidates.size(), "random");
    }

    unsigned reportedRequests(const RouteCandidate& candidate) { return candidate.load.reportedRunning + candidate.load.reportedQueued; }

    RouteDecision chooseLeastReported(const std::vector<RouteCandidate>& candidates)
    {
        if (candidates.empty())
            return { .reason = noEndpoint };
        auto best = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return reportedRequests(left) < reportedRequests(right); });
        return decisionFor(static_cast<std::size_t>(best - candidates.begin()), "least reported load");
    }

    RouteDecision chooseLessLoadedOfTwo(const std::vector<RouteCandidate>& candidates, std::uint64_t random)
    {
        if (candidates.empty())
            return { .reason = noEndpoint };
        auto first = random % candidates.size();
        auto second = (random / candidates.size()) % candidates.size();
        bool firstIsBetter = estimatedRequests(candidates[first].load) <= estimatedRequests(candidates[second].load);
        return decisionFor(firstIsBetter ? first : second, "less loaded of two");
    }

} // namespace

double uncachedTokens(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
{
    return request.promptTokens * (candidate.load.prefixCached ? 1 - options.cachedFraction : 1);
}

double expectedWaitSeconds(const RouteCandidate& candidate, const RouteOptions& options)
{
    const auto& load = candidate.load;
    auto ahead = estimatedRequests(load);
    double slotWait = 0;
    if (ahead >= options.batchSlots)
        slotWait = (ahead - options.batchSlots + 1) * options.slotTurnoverSeconds / options.batchSlots;
    return slotWait + load.backlogTokens / options.prefillTokensPerSecond;
}

double expectedFirstTokenSeconds(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
{
    double prefill = uncachedTokens(candidate, request, options) / options.prefillTokensPerSecond;
    double firstTokenTime = options.tokenSeconds * (1 + estimatedRequests(candidate.load) / static_cast<double>(options.batchSlots));
    return expectedWaitSeconds(candidate, options) + prefill + firstTokenTime;
}

bool isTimely(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options, double objectiveFraction)
{
    double maxSeconds = objectiveFraction * std::chrono::duration<double>(request.objective.firstToken).count();
    if (expectedFirstTokenSeconds(candidate, request, options) <= maxSeconds)
        return true;
    bool hasFreeSlots = estimatedRequests(candidate.load) < maxBusySlotFraction * options.batchSlots;
    return hasFreeSlots && expectedWaitSeconds(candidate, options) <= idleWaitSeconds;
}

Result<RoutePolicy> routePolicyNamed(const std::string& name)
{
    using Candidates = std::vector<RouteCandidate>;
    if (name == "cheapest-in-time")
        return RoutePolicy([](const Candidates& candidates, const RouteRequest& request, const RouteOptions& options, std::uint64_t) { return chooseEndpoint(candidates, request, options); });
    if (name == "random")
        return RoutePolicy([](const Candidates& candidates, const RouteRequest&, const RouteOptions&, std::uint64_t random) { return chooseRandom(candidates, random); });
    if (name == "least-reported-load")
        return RoutePolicy([](const Candidates& candidates, const RouteRequest&, const RouteOptions&, std::uint64_t) { return chooseLeastReported(candidates); });
    if (name == "two-choices")
        return RoutePolicy([](const Candidates& candidates, const RouteRequest&, const RouteOptions&, std::uint64_t random) { return chooseLessLoadedOfTwo(candidates, random); });
    return Error { ErrorCode::InvalidArgument, "unknown routing policy '" + name + "'" };
}

RouteDecision chooseEndpoint(const std::vector<RouteCandidate>& candidates, const RouteRequest& request, const RouteOptions& options)
{
    RouteDecision fastest { .candidate = std::nullopt, .reason = noEndpoint };
    RouteDecision cheapest;
    double lowestCost = 0;
    double maxSeconds = usableObjectiveFraction * std::chrono::duration<double>(request.objective.firstToken).count();
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto seconds = expectedFirstTokenSeconds(candidates[n], request, options);
        if (!fastest.candidate || seconds < fastest.expectedFirstTokenSeconds)
            fastest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "fastest; none is expected to meet the objective" };
        if (seconds > maxSeconds)
            continue;
        // Among candidates of similar cost the faster one is preferred.
        auto cost = expectedCost(candidates[n], request, options) * (1 + latencyWeight * seconds);
        if (cheapest.candidate && cost >= lowestCost)
            continue;
        lowestCost = cost;
        cheapest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "cheapest that is expected to meet the objective" };
    }
    return cheapest.candidate ? cheapest : fastest;
}

} // namespace Onyxnotch
