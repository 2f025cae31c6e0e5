#include "modules/balance/endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace Onyxnotch {

namespace {

    // Of the pause objective: of the streams at an endpoint that is expected to need just the objective, half would exceed it.
    constexpr double pauseMargin = 0.8;

    // Weighted rendezvous hashing: the candidate with the highest score is the home of the prompt. Among equally fast candidates it has the
    // highest rank; in general, a candidate is home to a share of prompts in proportion to its speed, so that engines are equally busy.
    double homeScore(const ChoiceCandidate& candidate)
    {
        auto uniform = (static_cast<double>(candidate.rank >> 11U) + 0.5) * 0x1p-53;
        return std::log(uniform) * candidate.lastingSlowness;
    }

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

    // Whether the candidate would be early enough with the shared parts cached, but for its speed.
    bool isTooSlowForHome(ChoiceCandidate candidate, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        if (candidate.slowness <= 1)
            return false;
        candidate.cachedTokens = std::max(candidate.cachedTokens, request.sharedTokens);
        if (expectedSeconds(candidate, request, options) <= request.earlyEnoughSeconds)
            return false;
        candidate.slowness = 1;
        return expectedSeconds(candidate, request, options) <= request.earlyEnoughSeconds;
    }

} // namespace

double expectedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto promptQueue = request.promptTokens > 0 ? candidate.waitingTokens * options.secondsPerToken : 0;
    auto streamDelay = candidate.inFlight * options.stepSeconds;
    return unqueuedSeconds(candidate, request, options) + candidate.slowness * (promptQueue + streamDelay + secondsForSlot(candidate, request, options));
}

double unqueuedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto uncached = std::max(0.0, request.promptTokens - candidate.cachedTokens);
    auto prefill = request.promptTokens > 0 ? options.fixedSeconds + uncached * options.secondsPerToken : 0;
    auto zone = candidate.sameZone ? 0 : options.otherZoneSeconds;
    return candidate.slowness * prefill + zone;
}

std::optional<EndpointChoice> chooseEndpoint(const std::vector<ChoiceCandidate>& candidates, const ChoiceRequest& request, const ChoiceOptions& options)
{
    if (candidates.empty())
        return std::nullopt;
    auto isPauseTooLong = [&](const ChoiceCandidate& it) { return request.pauseObjectiveSeconds > 0 && it.expectedPauseSeconds > pauseMargin * request.pauseObjectiveSeconds; };
    auto isOnTime = [&](const ChoiceCandidate& it) { return !isPauseTooLong(it) && expectedSeconds(it, request, options) <= request.objectiveSeconds; };
    bool skipsLongPauses = std::any_of(candidates.begin(), candidates.end(), isPauseTooLong) && std::any_of(candidates.begin(), candidates.end(), isOnTime);
    auto isSkipped = [&](const ChoiceCandidate& it) { return skipsLongPauses && isPauseTooLong(it); };
    // What a home does not get because of its speed goes to the next one in the order, not to the endpoint with the least load: all nodes would
    // choose the same one, until they see its load after up to 0.8 s.
    auto homeOrder = [&](const ChoiceCandidate& it) { return std::tuple(!isPauseTooLong(it) && !isTooSlowForHome(it, request, options), homeScore(it), it.rank); };
    auto highestRanked = candidates.begin();
    auto highestOrder = homeOrder(*highestRanked);
    for (auto it = candidates.begin() + 1; it != candidates.end(); ++it) {
        auto order = homeOrder(*it);
        if (order > highestOrder) {
            highestOrder = order;
            highestRanked = it;
        }
    }
    struct Rated {
        EndpointChoice choice {};
        std::uint64_t rank { 0 };
        double orderSeconds { 0 };
        bool isEarlyEnough { false };
    };
    // A smaller difference is within the error of the estimate of cached tokens.
    constexpr double equalTokensTolerance = 64;
    auto isBetter = [](const Rated& left, const Rated& right) {
        if (left.isEarlyEnough != right.isEarlyEnough)
            return left.isEarlyEnough;
        if (left.isEarlyEnough && std::abs(left.choice.uncachedTokens - right.choice.uncachedTokens) > equalTokensTolerance)
            return left.choice.uncachedTokens < right.choice.uncachedTokens;
        if (left.orderSeconds != right.orderSeconds)
            return left.orderSeconds < right.orderSeconds;
        return left.rank > right.rank;
    };
    std::optional<Rated> best;
    auto leastWait = std::numeric_limits<double>::max();
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        if (isSkipped(*it))
            continue;
        auto candidate = *it;
        if (it == highestRanked)
            candidate.cachedTokens = std::max(candidate.cachedTokens, request.sharedTokens);
        auto seconds = expectedSeconds(candidate, request, options);
        auto unqueued = unqueuedSeconds(candidate, request, options);
        leastWait = std::min(leastWait, seconds - unqueued);
        // A fast endpoint may be slow for a moment, so its speed does not allow a longer queue.
        auto unhurried = candidate;
        unhurried.slowness = std::max(1.0, candidate.slowness);
        bool isEarlyEnough = (candidate.slowness < 1 ? expectedSeconds(unhurried, request, options) : seconds) <= request.earlyEnoughSeconds;
        // Any endpoint that is early enough will do. Ordered by speed, the fastest one would get what all nodes do not send to homes, until
        // they see its load, which may take 0.8 s.
        unhurried.slowness = 1;
        Rated rated { .choice = { .candidate = static_cast<std::size_t>(it - candidates.begin()),
                          .uncachedTokens = std::max(0.0, request.promptTokens - candidate.cachedTokens),
                          .expectedSeconds = seconds,
                          .unqueuedSeconds = unqueued,
                          .reason = it == highestRanked ? "home" : "least_wait" },
            .rank = candidate.rank,
            .orderSeconds = isEarlyEnough && candidate.slowness != 1 ? expectedSeconds(unhurried, request, options) : seconds,
            .isEarlyEnough = isEarlyEnough };
        if (!best || isBetter(rated, *best))
            best = rated;
    }
    best->choice.leastWaitSeconds = leastWait;
    return best->choice;
}

} // namespace Onyxnotch
