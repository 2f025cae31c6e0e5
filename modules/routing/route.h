// Chooses an endpoint for one request: a pure function of what is known, with its reason.
#pragma once

#include "core/clock.h"
#include "modules/declaration/declared_object.h"
#include "modules/replica/endpoint_catalog.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Onyxnotch {

// What this node knows of an endpoint's load.
struct EndpointLoad {
    unsigned reportedRunning { 0 };
    unsigned reportedQueued { 0 };
    unsigned addedSinceReport { 0 }; // By how much this node's own requests in flight have grown.
    double backlogTokens { 0 }; // That are expected to wait for their prefill now.
    unsigned ownInFlight { 0 };
    bool prefixCached { false }; // This node has sent a prompt with this beginning there lately.

    bool operator==(const EndpointLoad&) const = default;
};

struct RouteCandidate {
    Endpoint endpoint;
    EndpointLoad load;

    bool operator==(const RouteCandidate&) const = default;
};

struct RouteRequest {
    unsigned promptTokens { 0 };
    unsigned expectedTokens { 0 }; // Still to be generated.
    std::uint64_t prefixHash { 0 }; // Of the prompt's beginning; 0 where the prompt does not matter.
    Objective objective {};

    bool operator==(const RouteRequest&) const = default;
};

// The model of an engine's costs that the estimates use.
struct RouteOptions {
    double prefillTokensPerSecond { 8000 };
    unsigned batchSlots { 32 }; // Streams that an engine runs at once; more wait.
    double slotTurnSeconds { 2 }; // How soon a slot comes free when all are taken, divided by the slots.
    double reclaimsPerHour { 0.5 }; // Of one reclaimable instance.
    double tokenSeconds { 0.03 }; // Between two tokens of a stream.
    double cachedPart { 0.8 }; // Of a prompt whose beginning is cached, as far as this node can tell.
    double recomputeWeight { 1 }; // What a second of lost work counts against a second of the instance's price.
};

struct RouteDecision {
    std::optional<std::size_t> candidate {}; // Index into the candidates.
    double expectedFirstTokenSeconds { 0 };
    std::string reason {};
};

// Whether a request may be sent to a candidate without being late: its first token is expected within `part` of the objective, or
// the engine has room and nothing waits there: what takes long by itself would take as long at any other time.
bool isTimely(const RouteCandidate&, const RouteRequest&, const RouteOptions&, double part);

// A way to choose. `random` is a number that the policy may use; all else it must take from its arguments.
using RoutePolicy = std::function<RouteDecision(const std::vector<RouteCandidate>&, const RouteRequest&, const RouteOptions&, std::uint64_t random)>;

// "cheapest-in-time" is the project's own. "random", "least-reported-load" and "two-choices" are baselines to measure against.
Result<RoutePolicy> routePolicyNamed(const std::string& name);

// Of a request's prompt at a candidate.
double uncachedTokens(const RouteCandidate&, const RouteRequest&, const RouteOptions&);

// Expected time until a request that is sent now is begun.
double expectedWaitSeconds(const RouteCandidate&, const RouteOptions&);

// Expected time to the first token at a candidate.
double expectedFirstTokenSeconds(const RouteCandidate&, const RouteRequest&, const RouteOptions&);

// Of the candidates that are expected to meet the objective, the one that costs least: its price for the time of the request, and the
// work that a reclaim would lose. Where none meets it, the fastest.
RouteDecision chooseEndpoint(const std::vector<RouteCandidate>&, const RouteRequest&, const RouteOptions&);

} // namespace Onyxnotch
