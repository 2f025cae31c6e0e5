#include "modules/balance/endpoint_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Onyxnotch {

namespace {

    // The mean of what is above zero of a normal distribution.
    double meanAboveZero(double mean, double deviation)
    {
        if (deviation <= 0)
            return std::max(0.0, mean);
        constexpr double inverseRootOfTwoPi = 0.3989422804014327;
        auto z = mean / deviation;
        auto density = inverseRootOfTwoPi * std::exp(-z * z / 2);
        auto below = std::erfc(-z / std::sqrt(2.0)) / 2;
        return mean * below + deviation * density;
    }

    // Where all slots are taken, one comes free after a part of a usual request. How many are taken is known as of a moment ago: in this
    // time as many came, and went, as the slots are held long, give or take the root of that number.
    double secondsForSlot(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
    {
        if (request.slotSeconds <= 0)
            return 0;
        auto slots = static_cast<double>(std::max(1U, candidate.slots));
        auto missed = candidate.inFlight * options.staleSeconds / std::max(options.staleSeconds, request.slotSeconds);
        return meanAboveZero(candidate.inFlight + 1 - slots, std::sqrt(missed)) / slots * request.slotSeconds;
    }

} // namespace

double expectedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto ahead = request.promptTokens > 0 ? candidate.waitingTokens * options.secondsPerToken : 0;
    auto batch = candidate.inFlight * options.stepSeconds;
    return unqueuedSeconds(candidate, request, options) + ahead + batch + secondsForSlot(candidate, request, options);
}

double unqueuedSeconds(const ChoiceCandidate& candidate, const ChoiceRequest& request, const ChoiceOptions& options)
{
    auto uncached = std::max(0.0, request.promptTokens - candidate.keptTokens);
    auto prefill = request.promptTokens > 0 ? options.fixedSeconds + uncached * options.secondsPerToken : 0;
    auto zone = candidate.sameZone ? 0 : options.otherZoneSeconds;
    return prefill + zone;
}

std::optional<EndpointChoice> chooseEndpoint(const std::vector<ChoiceCandidate>& candidates, const ChoiceRequest& request, const ChoiceOptions& options)
{
    if (candidates.empty())
        return std::nullopt;
    auto home = std::max_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.rank < right.rank; });
    struct Rated {
        EndpointChoice choice {};
        std::uint64_t rank { 0 };
        bool comfortable { false };
    };
    // A difference this small is within the error of what is taken to be cached.
    constexpr double sameTokens = 64;
    auto isBetter = [](const Rated& left, const Rated& right) {
        if (left.comfortable != right.comfortable)
            return left.comfortable;
        if (left.comfortable && std::abs(left.choice.uncachedTokens - right.choice.uncachedTokens) > sameTokens)
            return left.choice.uncachedTokens < right.choice.uncachedTokens;
        if (left.choice.expectedSeconds != right.choice.expectedSeconds)
            return left.choice.expectedSeconds < right.choice.expectedSeconds;
        return left.rank > right.rank;
    };
    std::optional<Rated> best;
    auto leastWait = std::numeric_limits<double>::max();
    for (auto it = candidates.begin(); it != candidates.end(); ++it) {
        auto candidate = *it;
        if (it == home)
            candidate.keptTokens = std::max(candidate.keptTokens, request.sharedTokens);
        auto seconds = expectedSeconds(candidate, request, options);
        auto unqueued = unqueuedSeconds(candidate, request, options);
        leastWait = std::min(leastWait, seconds - unqueued);
        Rated rated { .choice = { .candidate = static_cast<std::size_t>(it - candidates.begin()),
                          .uncachedTokens = std::max(0.0, request.promptTokens - candidate.keptTokens),
                          .expectedSeconds = seconds,
                          .unqueuedSeconds = unqueued,
                          .reason = it == home ? "home" : "least_wait" },
            .rank = candidate.rank,
            .comfortable = seconds <= request.comfortableSeconds };
        if (!best || isBetter(rated, *best))
            best = rated;
    }
    best->choice.leastWaitSeconds = leastWait;
    return best->choice;
}

} // namespace Onyxnotch
