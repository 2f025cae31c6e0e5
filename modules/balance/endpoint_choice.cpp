#include "modules/balance/endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace Onyxnotch {

namespace {

    // Largest expected pause that counts as on time, as a part of the pause objective. Of the streams at an endpoint whose expected pause
    // equals the objective, half would exceed it.
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

    // Whether the candidate, with the shared parts cached, is not early enough but would be at the service's usual speed.
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

    bool isPauseTooLong(const ChoiceCandidate& candidate, const ChoiceRequest& request)
    {
        return request.pauseObjectiveSeconds > 0 && candidate.expectedPauseSeconds > pauseMargin * request.pauseObjectiveSeconds;
    }

    // Whether to leave out candidates whose expected pause is too long: true if there are any, and another candidate is on time.
    bool skipsLongPauses(const std::vector<ChoiceCandidate>& candidates, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        auto hasLongPause = [&](const ChoiceCandidate& it) { return isPauseTooLong(it, request); };
        auto isOnTime = [&](const ChoiceCandidate& it) { return !hasLongPause(it) && expectedSeconds(it, request, options) <= request.objectiveSeconds; };
        return std::any_of(candidates.begin(), candidates.end(), hasLongPause) && std::any_of(candidates.begin(), candidates.end(), isOnTime);
    }

    // Index of the home of the prompt. A request that its home does not get because of the home's speed goes to the next candidate in the
    // order, not to the one with the least load: all nodes would choose the same one until they see its load, up to 0.8 s later.
    std::size_t homeIndex(const std::vector<ChoiceCandidate>& candidates, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        auto orderOf = [&](const ChoiceCandidate& it) { return std::tuple(!isPauseTooLong(it, request) && !isTooSlowForHome(it, request, options), homeScore(it), it.rank); };
        std::size_t home = 0;
        auto highestOrder = orderOf(candidates.front());
        for (std::size_t n = 1; n < candidates.size(); ++n) {
            auto order = orderOf(candidates[n]);
            if (order > highestOrder) {
                highestOrder = order;
                home = n;
            }
        }
        return home;
    }

    struct RatedCandidate {
        EndpointChoice choice {};
        std::uint64_t rank { 0 };
        double orderSeconds { 0 }; // Expected time that candidates are compared by.
        bool isEarlyEnough { false };
    };

    bool isBetter(const RatedCandidate& left, const RatedCandidate& right)
    {
        // A smaller difference is within the error of the estimate of cached tokens.
        constexpr double equalTokensTolerance = 64;
        if (left.isEarlyEnough != right.isEarlyEnough)
            return left.isEarlyEnough;
        if (left.isEarlyEnough && std::abs(left.choice.uncachedTokens - right.choice.uncachedTokens) > equalTokensTolerance)
            return left.choice.uncachedTokens < right.choice.uncachedTokens;
        if (left.orderSeconds != right.orderSeconds)
            return left.orderSeconds < right.orderSeconds;
        return left.rank > right.rank;
    }

    RatedCandidate rate(ChoiceCandidate candidate, std::size_t index, bool isHome, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        if (isHome)
            candidate.cachedTokens = std::max(candidate.cachedTokens, request.sharedTokens);
        auto seconds = expectedSeconds(candidate, request, options);
        // A fast endpoint may slow down briefly, so its speed does not allow a longer queue.
        auto atUsualSpeed = candidate;
        atUsualSpeed.slowness = 1;
        auto secondsAtUsualSpeed = expectedSeconds(atUsualSpeed, request, options);
        bool isEarlyEnough = (candidate.slowness < 1 ? secondsAtUsualSpeed : seconds) <= request.earlyEnoughSeconds;
        // Candidates that are early enough are compared without their speed. Otherwise all nodes would send what does not go to homes to the
        // fastest endpoint until they see its load, up to 0.8 s later.
        return { .choice = { .candidate = index,
                     .uncachedTokens = std::max(0.0, request.promptTokens - candidate.cachedTokens),
                     .expectedSeconds = seconds,
                     .unqueuedSeconds = unqueuedSeconds(candidate, request, options),
                     .reason = isHome ? "home" : "least_wait" },
            .rank = candidate.rank,
            .orderSeconds = isEarlyEnough ? secondsAtUsualSpeed : seconds,
            .isEarlyEnough = isEarlyEnough };
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
    bool skipsLong = skipsLongPauses(candidates, request, options);
    auto home = homeIndex(candidates, request, options);
    std::optional<RatedCandidate> best;
    auto leastWait = std::numeric_limits<double>::max();
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        if (skipsLong && isPauseTooLong(candidates[n], request))
            continue;
        auto rated = rate(candidates[n], n, n == home, request, options);
        leastWait = std::min(leastWait, rated.choice.expectedSeconds - rated.choice.unqueuedSeconds);
        if (!best || isBetter(rated, *best))
            best = rated;
    }
    best->choice.leastWaitSeconds = leastWait;
    return best->choice;
}

} // namespace Onyxnotch
