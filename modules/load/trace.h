// Generates traces of requests for load tests. A trace is a pure function of a workload, a seed and a length.
#pragma once

#include "core/clock.h"
#include "core/outcome.h"
#include <string>
#include <vector>

namespace Onyxnotch {

enum class RequestKind {
    Confirmation, // Model request with a short answer that is needed fast, such as a gate slot or a pallet lookup.
    Plan, // Model request with a long answer, such as a corridor plan or a roster.
    Release, // Call to a plain service that may not be repeated.
};

std::string toString(RequestKind);

// Rate, mix and sizes of the requests that the clients of a site send.
struct Workload {
    std::string name {};
    double requestsPerSecond { 20 };
    double planFraction { 0.1 }; // Fraction of requests that are plans.
    double releaseFraction { 0.05 }; // Fraction of requests that are releases. The remaining ones are confirmations.
    unsigned prefixes { 40 }; // Number of different prompt beginnings (manifests, corridors), each shared by many requests.
    unsigned confirmationPrefixTokens { 800 };
    unsigned confirmationTokens { 12 };
    unsigned planPrefixTokens { 3000 };
    unsigned planTokens { 150 };
    unsigned uniquePromptTokens { 60 }; // Length of the end of a prompt, which no other request shares.
    std::vector<double> teamWeights { 8, 4, 2, 1, 1 }; // Relative request rate of each team; the teams differ in size.

    bool operator==(const Workload&) const = default;
};

// Returns the predefined workload "cold-yards" or "despacho-litoral". Errors: InvalidArgument for any other name.
Result<Workload> workloadNamed(const std::string& name);

struct TraceRequest {
    Milliseconds at { 0 }; // Time to send the request, from the start of the trace.
    RequestKind kind { RequestKind::Confirmation };
    unsigned team { 0 };
    std::string prompt {}; // For a release, the request body.
    unsigned maximumTokens { 0 };

    bool operator==(const TraceRequest&) const = default;
};

// Generates the requests of the given duration. Arrivals are a Poisson process. The same seed gives the same trace.
std::vector<TraceRequest> makeTrace(const Workload&, std::uint64_t seed, Milliseconds length);

} // namespace Onyxnotch
