#include "modules/routing/route.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr double secondsPerHour = 3600;
    // A part of the objective is kept for what the estimate does not see: the network and the lag of reports.
    constexpr double usablePartOfObjective = 0.7;

    unsigned loadOf(const EndpointLoad& load)
    {
        // Reports lag, so this node's own count is a lower bound.
        return std::max(load.reportedRunning + load.reportedQueued + load.startedSinceReport, load.ownInFlight);
    }

    // Price of the time that the request holds a slot, plus the price of the work that is expected to be done again.
    double expectedCost(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
    {
        double duration = request.promptTokens / options.prefillTokensPerSecond + request.expectedTokens * options.tokenSeconds;
        double pricePerSecond = candidate.endpoint.pricePerHour / secondsPerHour;
        double cost = pricePerSecond * duration / options.batchSlots;
        if (candidate.endpoint.market != Market::Reclaimable)
            return cost;
        double reclaimProbability = std::min(1.0, options.reclaimsPerHour * duration / secondsPerHour);
        // On average half of the generation is done when the reclaim comes; the prompt is always prefilled again.
        double lostSeconds = request.promptTokens / options.prefillTokensPerSecond + duration / 2;
        return cost + options.recomputeWeight * reclaimProbability * lostSeconds * pricePerSecond;
    }

} // namespace

double expectedFirstTokenSeconds(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
{
    auto ahead = loadOf(candidate.load);
    double waiting = 0;
    if (ahead >= options.batchSlots)
        waiting = (ahead - options.batchSlots + 1) * options.slotTurnSeconds / options.batchSlots;
    auto cached = std::min(candidate.load.cachedPrefixTokens, request.promptTokens);
    // Prefills of requests that started just now are done first.
    double prefills = 1.0 + candidate.load.startedSinceReport;
    return waiting + prefills * (request.promptTokens - cached) / options.prefillTokensPerSecond + options.tokenSeconds * (1 + ahead / static_cast<double>(options.batchSlots));
}

RouteDecision chooseEndpoint(const std::vector<RouteCandidate>& candidates, const RouteRequest& request, const RouteOptions& options)
{
    RouteDecision fastest { .candidate = std::nullopt, .reason = "no endpoint serves this model" };
    RouteDecision cheapest;
    double lowestCost = 0;
    double limit = usablePartOfObjective * std::chrono::duration<double>(request.objective.firstToken).count();
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto seconds = expectedFirstTokenSeconds(candidates[n], request, options);
        if (!fastest.candidate || seconds < fastest.expectedFirstTokenSeconds)
            fastest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "fastest; none is expected to meet the objective" };
        if (seconds > limit)
            continue;
        // Of equal prices the less loaded one.
        auto cost = expectedCost(candidates[n], request, options) * (1 + seconds);
        if (cheapest.candidate && cost >= lowestCost)
            continue;
        lowestCost = cost;
        cheapest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "cheapest that is expected to meet the objective" };
    }
    return cheapest.candidate ? cheapest : fastest;
}

} // namespace Onyxnotch
