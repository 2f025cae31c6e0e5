// Plays a trace against gateways and sums up what callers saw.
#pragma once

#include "modules/client/client.h"
#include "modules/load/trace.h"
#include <functional>

namespace Onyxnotch {

struct LoadOptions {
    std::vector<Address> gateways {};
    std::vector<std::string> teamKeys {}; // By the trace's team number; fewer keys than teams are used in turn.
    std::string modelService { "planner" };
    std::string releaseService { "release" };
    double firstTokenTarget { 0.72 }; // Seconds.
    double betweenTokensTarget { 0.079 };
    unsigned maximumInFlight { 400 }; // More are not started but counted as dropped, so that a stuck site cannot pile them up.
    // Says whether a model answer is the right one; empty: every completed one is.
    std::function<bool(const TraceRequest&, const std::string& text)> verify {};
};

struct LoadSummary {
    unsigned sent { 0 };
    unsigned completed { 0 };
    unsigned onTarget { 0 }; // Completed, and both targets met.
    unsigned refused { 0 }; // Not run.
    unsigned lost { 0 }; // Accepted, and no whole answer.
    unsigned unknown { 0 }; // Releases with an unknown outcome.
    unsigned dropped { 0 };
    std::uint64_t tokens { 0 }; // Prompt and answer tokens of completed model requests.
    double firstTokenP95 { 0 }; // Seconds.
    double betweenTokensP95 { 0 };
    double refusalP95 { 0 }; // Seconds until a refusal came.
    std::vector<std::string> releaseIds {};
    double seconds { 0 };
};

// Blocks until every request has ended. Bounded by the trace's length and the client's tries.
LoadSummary runLoad(const LoadOptions&, const std::vector<TraceRequest>&);

} // namespace Onyxnotch
