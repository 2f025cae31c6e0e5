// Chooses the endpoint for a request from the known load and prices of the candidates, and states the reason. Pure functions.
#pragma once

#include "core/clock.h"
#include "modules/declaration/declared_object.h"
#include "modules/replica/endpoint_catalog.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// Load of an endpoint as known to this node.
struct EndpointLoad {
    unsigned reportedRunning { 0 }; // Requests running at the endpoint, by its last report.
    unsigned reportedQueued { 0 }; // Requests queued at the endpoint, by its last report.
    unsigned addedSinceReport { 0 }; // Increase of `ownInFlight` since the last report.
    double backlogTokens { 0 }; // Estimated number of tokens waiting to be prefilled.
    unsigned ownInFlight { 0 }; // Requests of this node in flight at the endpoint.
    bool prefixCached { false }; // This node has recently sent a prompt with the same prefix to the endpoint.

    bool operator==(const EndpointLoad&) const = default;
};

struct RouteCandidate {
    Endpoint endpoint;
    EndpointLoad load;

    bool operator==(const RouteCandidate&) const = default;
};

struct RouteRequest {
    unsigned promptTokens { 0 };
    unsigned expectedTokens { 0 }; // Number of tokens expected to be generated.
    std::uint64_t prefixHash { 0 }; // Hash of the prompt's prefix; 0 if the prompt is irrelevant for the choice.
    Objective objective {};

    bool operator==(const RouteRequest&) const = default;
};

// Parameters of the cost model of an engine that the estimates use.
struct RouteOptions {
    double prefillTokensPerSecond { 8000 };
    unsigned batchSlots { 32 }; // Number of requests that an engine runs concurrently; further ones wait.
    // Time a request occupies a slot: with all slots occupied, one becomes free every slotTurnoverSeconds / batchSlots.
    double slotTurnoverSeconds { 2 };
    double reclaimsPerHour { 0.5 }; // Expected reclaims per hour of one reclaimable instance.
    double tokenSeconds { 0.03 }; // Time between two generated tokens of a request.
    double cachedFraction { 0.8 }; // Fraction of a prompt's tokens assumed to be cached if `prefixCached` is set.
    double recomputeWeight { 1 }; // Weight of the cost of a second of lost work relative to a second of instance time.
};

struct RouteDecision {
    std::optional<std::size_t> candidate {}; // Index into the candidates.
    double expectedFirstTokenSeconds { 0 };
    std::string reason {};
};

// Whether a request may be sent to a candidate now: its first token is expected within `objectiveFraction` of the objective's time, or the
// engine has free slots and hardly a backlog. In the latter case the request is slow by itself, so waiting longer would not make it faster.
bool isTimely(const RouteCandidate&, const RouteRequest&, const RouteOptions&, double objectiveFraction);

// A routing policy. It must depend on nothing but its arguments; `random` is a random number it may use.
using RoutePolicy = std::function<RouteDecision(const std::vector<RouteCandidate>&, const RouteRequest&, const RouteOptions&, std::uint64_t random)>;

// Returns the policy with the given name: "cheapest-in-time" (see chooseEndpoint()), or one of the baselines for comparison, "random",
// "least-reported-load" and "two-choices". Errors: InvalidArgument if the name is unknown.
Result<RoutePolicy> routePolicyNamed(const std::string& name);

// Estimated number of the prompt's tokens that the candidate has to prefill, since they are not cached there.
double uncachedTokens(const RouteCandidate&, const RouteRequest&, const RouteOptions&);

// Expected time until the candidate starts a request that is sent now.
double expectedWaitSeconds(const RouteCandidate&, const RouteOptions&);

// Expected time from sending a request to the candidate until its first token.
double expectedFirstTokenSeconds(const RouteCandidate&, const RouteRequest&, const RouteOptions&);

// Chooses the cheapest candidate among those expected to meet the request's objective, or the fastest one if none is. The cost is the price
// of the engine time that the request uses plus the expected cost of work lost to a reclaim of the instance.
RouteDecision chooseEndpoint(const std::vector<RouteCandidate>&, const RouteRequest&, const RouteOptions&);

} // namespace Onyxnotch
