#include "modules/routing/route.h"

#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr double secondsPerHour = 3600;
    constexpr double soonerWeight = 0.5;
    // An engine with so little before a request, and so many slots free, has room for one that takes long by itself.
    constexpr double idleWaitSeconds = 0.005;
    constexpr double roomyPartOfSlots = 0.5;
    constexpr auto noEndpoint = "no endpoint serves this model";
    // A part of the objective is kept for what the estimate does not see: the network and the lag of reports.
    constexpr double usablePartOfObjective = 0.7;

    unsigned loadOf(const EndpointLoad& load)
    {
        // Reports lag, so this node's own count is a lower bound.
        return std::max(load.reportedRunning + load.reportedQueued + load.addedSinceReport, load.ownInFlight);
    }

    // Price of the engine's time that the request takes, plus the price of the work that is expected to be done again. A prefill has
    // the engine for itself; a generation shares it with the other slots.
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
        // On average half of the generation is done when the reclaim comes; the whole prompt is prefilled again.
        double lostSeconds = request.promptTokens / options.prefillTokensPerSecond + duration / 2;
        return cost + options.recomputeWeight * reclaimProbability * lostSeconds * pricePerSecond;
    }

    RouteDecision decided(std::size_t candidate, const std::string& reason)
    {
        return { .candidate = candidate, .reason = reason };
    }

    RouteDecision chooseRandom(const std::vector<RouteCandidate>& candidates, std::uint64_t random)
    {
        return candidates.empty() ? RouteDecision { .reason = noEndpoint } : decided(random % candidates.size(), "random");
    }

    unsigned reportedLoad(const RouteCandidate& candidate) { return candidate.load.reportedRunning + candidate.load.reportedQueued; }

    RouteDecision chooseLeastReported(const std::vector<RouteCandidate>& candidates)
    {
        if (candidates.empty())
            return { .reason = noEndpoint };
        auto best = std::min_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return reportedLoad(left) < reportedLoad(right); });
        return decided(static_cast<std::size_t>(best - candidates.begin()), "least reported load");
    }

    RouteDecision chooseOfTwo(const std::vector<RouteCandidate>& candidates, std::uint64_t random)
    {
        if (candidates.empty())
            return { .reason = noEndpoint };
        auto first = random % candidates.size();
        auto second = (random / candidates.size()) % candidates.size();
        bool firstIsBetter = loadOf(candidates[first].load) <= loadOf(candidates[second].load);
        return decided(firstIsBetter ? first : second, "less loaded of two");
    }

} // namespace

double uncachedTokens(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
{
    return request.promptTokens * (candidate.load.prefixCached ? 1 - options.cachedPart : 1);
}

double expectedWaitSeconds(const RouteCandidate& candidate, const RouteOptions& options)
{
    const auto& load = candidate.load;
    auto ahead = loadOf(load);
    double forSlot = 0;
    if (ahead >= options.batchSlots)
        forSlot = (ahead - options.batchSlots + 1) * options.slotTurnSeconds / options.batchSlots;
    return forSlot + load.backlogTokens / options.prefillTokensPerSecond;
}

double expectedFirstTokenSeconds(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options)
{
    double prefill = uncachedTokens(candidate, request, options) / options.prefillTokensPerSecond;
    double firstStep = options.tokenSeconds * (1 + loadOf(candidate.load) / static_cast<double>(options.batchSlots));
    return expectedWaitSeconds(candidate, options) + prefill + firstStep;
}

bool isTimely(const RouteCandidate& candidate, const RouteRequest& request, const RouteOptions& options, double part)
{
    double limit = part * std::chrono::duration<double>(request.objective.firstToken).count();
    if (expectedFirstTokenSeconds(candidate, request, options) <= limit)
        return true;
    bool hasRoom = loadOf(candidate.load) < roomyPartOfSlots * options.batchSlots;
    return hasRoom && expectedWaitSeconds(candidate, options) <= idleWaitSeconds;
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
        return RoutePolicy([](const Candidates& candidates, const RouteRequest&, const RouteOptions&, std::uint64_t random) { return chooseOfTwo(candidates, random); });
    return Error { ErrorCode::InvalidArgument, "unknown routing policy '" + name + "'" };
}

RouteDecision chooseEndpoint(const std::vector<RouteCandidate>& candidates, const RouteRequest& request, const RouteOptions& options)
{
    RouteDecision fastest { .candidate = std::nullopt, .reason = noEndpoint };
    RouteDecision cheapest;
    double lowestCost = 0;
    double limit = usablePartOfObjective * std::chrono::duration<double>(request.objective.firstToken).count();
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        auto seconds = expectedFirstTokenSeconds(candidates[n], request, options);
        if (!fastest.candidate || seconds < fastest.expectedFirstTokenSeconds)
            fastest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "fastest; none is expected to meet the objective" };
        if (seconds > limit)
            continue;
        // Of about equal costs the sooner one.
        auto cost = expectedCost(candidates[n], request, options) * (1 + soonerWeight * seconds);
        if (cheapest.candidate && cost >= lowestCost)
            continue;
        lowestCost = cost;
        cheapest = { .candidate = n, .expectedFirstTokenSeconds = seconds, .reason = "cheapest that is expected to meet the objective" };
    }
    return cheapest.candidate ? cheapest : fastest;
}

} // namespace Onyxnotch
