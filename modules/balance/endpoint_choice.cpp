#include "modules/balance/endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Onyxnotch {

namespace {

    // Mean of max(0, x) for a normally distributed x.
    double meanAboveZero(double mean, double deviation)
    {
        if (deviation <= 0)
            return std::max(0.0, mean);
        constexpr double inverseRootOfTwoPi = 0.3989422804014327;
        auto z = mean / deviation;
        auto density = inverseRootOfTwoPi * std::exp(-z * z / 2);
        auto probabilityAboveZero = std::erfc(-z / std::sqrt(2.0)) / 2;
        return mean * probabilityAboveZero + deviation * density;
    }

    // Expected wait for a free slot. The number of requests in flight is `staleSeconds` old; the requests that arrived and ended since then
    // are estimated from `slotSeconds`, and the number in flight is taken to deviate by the square root of that estimate.
    double secondsForSlot(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        if (request.slotSeconds <= 0)
            return 0;
        auto slots = static_cast<double>(std::max(1U, candidate.slots));
        auto changed = candidate.inFlight * options.staleSeconds / std::max(options.staleSeconds, request.slotSeconds);
        return meanAboveZero(candidate.inFlight + 1 - slots, std::sqrt(changed)) / slots * request.slotSeconds;
    }

} // namespace

double expectedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto promptQueue = request.promptTokens > 0 ? candidate.waitingTokens * options.secondsPerToken : 0;
    auto streamDelay = candidate.inFlight * options.stepSeconds;
    return unqueuedSeconds(candidate, request, options) + promptQueue + streamDelay + secondsForSlot(candidate, request, options);
}

double unqueuedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto uncached = std::max(0.0, request.promptTokens - candidate.cachedTokens);
    auto prefill = request.promptTokens > 0 ? options.fixedSeconds + uncached * options.secondsPerToken : 0;
    auto zone = candidate.sameZone ? 0 : options.otherZoneSeconds;
    return prefill + zone;
}

std::optional<EndpointChoice> chooseEndpoint(const std::vector<ChoiceCandidate>& candidates, const ChoiceRequest& request, const ChoiceOptions& options)
{
    if (candidates.empty())
        return std::nullopt;
    auto highestRanked = std::max_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.rank < right.rank; });
    struct Rated {
        EndpointChoice choice {};
        std::uint64_t rank { 0 };
        bool isEarlyEnough { false };
    };
    // A smaller difference is within the error of the estimate of cached tokens.
    constexpr double equalTokensTolerance = 64;
    auto isBetter = [](const Rated& left, const Rated& right) {
        if (left.isEarlyEnough != right.isEarlyEnough)
            return left.isEarlyEnough;
        if (left.isEarlyEnough && std::abs(left.choice.uncachedTokens - right.choice.uncachedTokens) > equalTokensTolerance)
            return left.choice.uncachedTokens < right.choice.uncachedTokens;
        if (left.choice.expectedSeconds != right.choice.expectedSeconds)
            return left.choice.expectedSeconds < right.choice.expectedSeconds;
        return left.rank > right.rank;
    };
    std::optional<Rated> best;
    auto leastWait = std::numeric_limits<double>::max();
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        auto candidate = *it;
        if (it == highestRanked)
            candidate.cachedTokens = std::max(candidate.cachedTokens, request.sharedTokens);
        auto seconds = expectedSeconds(candidate, request, options);
        auto unqueued = unqueuedSeconds(candidate, request, options);
        leastWait = std::min(leastWait, seconds - unqueued);
        Rated rated { .choice = { .candidate = static_cast<std::size_t>(it - candidates.begin()),
                          .uncachedTokens = std::max(0.0, request.promptTokens - candidate.cachedTokens),
                          .expectedSeconds = seconds,
                          .unqueuedSeconds = unqueued,
                          .reason = it == highestRanked ? "home" : "least_wait" },
            .rank = candidate.rank,
            .isEarlyEnough = seconds <= request.earlyEnoughSeconds };
        if (!best || isBetter(rated, *best))
            best = rated;
    }
    best->choice.leastWaitSeconds = leastWait;
    return best->choice;
}

} // namespace Onyxnotch
