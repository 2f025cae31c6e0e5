// Traces of requests to load a site with: a pure function of a workload and a seed.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <string>
#include <vector>

namespace Onyxnotch {

enum class RequestKind {
    Confirmation, // Short, wanted fast: a gate slot, a pallet lookup.
    Plan, // Long: a corridor plan, a roster.
    Release, // A call to a plain service that may not be repeated.
};

std::string toString(RequestKind);

// What a site's callers ask for.
struct Workload {
    std::string name {};
    double requestsPerSecond { 20 };
    double planPart { 0.1 };
    double releasePart { 0.05 }; // The rest are confirmations.
    unsigned prefixes { 40 }; // Different beginnings of prompts (manifests, corridors) that requests share.
    unsigned confirmationPrefixTokens { 800 };
    unsigned confirmationTokens { 12 };
    unsigned planPrefixTokens { 3000 };
    unsigned planTokens { 150 };
    unsigned ownPromptTokens { 60 }; // Not shared.
    std::vector<double> teamWeights { 8, 4, 2, 1, 1 }; // Teams of unequal size.

    bool operator==(const Workload&) const = default;
};

// "cold-yards" or "despacho-litoral".
Result<Workload> workloadNamed(const std::string& name);

struct TraceRequest {
    Milliseconds at { 0 }; // From the start of the trace.
    RequestKind kind { RequestKind::Confirmation };
    unsigned team { 0 };
    std::string prompt {}; // Or the body of a release.
    unsigned maximumTokens { 0 };

    bool operator==(const TraceRequest&) const = default;
};

// Arrivals are a Poisson process. The same seed gives the same trace.
std::vector<TraceRequest> makeTrace(const Workload&, std::uint64_t seed, Milliseconds length);

} // namespace Onyxnotch
