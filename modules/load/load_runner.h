// Sends the requests of a trace to gateways at their times, and summarizes the answers that clients got.
#pragma once

#include "modules/client/client.h"
#include "modules/load/trace.h"
#include <functional>

namespace Onyxnotch {

struct LoadOptions {
    std::vector<Address> gateways {};
    // API keys, indexed by the trace's team number. With fewer keys than teams, the number wraps around.
    std::vector<std::string> teamKeys {};
    std::string modelService { "planner" };
    std::string releaseService { "release" };
    double firstTokenTarget { 0.72 }; // Seconds. For a release, until its complete answer.
    double betweenTokensTarget { 0.079 }; // Seconds, for the 95th percentile within one answer.
    // Requests above this are counted as dropped instead of being sent, so that they do not pile up at a stuck site.
    unsigned maximumInFlight { 400 };
    // Returns whether the answer to a model request is correct. If empty, every completed answer counts as correct.
    std::function<bool(const TraceRequest&, const std::string& text)> verify {};
};

struct LoadSummary {
    unsigned sent { 0 };
    unsigned completed { 0 };
    unsigned onTarget { 0 }; // Completed, and within both targets; for releases, within `firstTokenTarget`.
    unsigned refused { 0 }; // Ended with the outcome "not run".
    unsigned lost { 0 }; // Model requests that were neither refused nor answered completely and correctly.
    unsigned unknown { 0 }; // Releases that neither completed nor were refused.
    unsigned dropped { 0 }; // Not sent because of LoadOptions::maximumInFlight.
    std::uint64_t tokens { 0 }; // Prompt and answer tokens of completed model requests.
    double firstTokenP95 { 0 }; // Seconds; 95th percentile over completed model requests.
    double betweenTokensP95 { 0 }; // Seconds; 95th percentile over the tokens of completed model requests.
    double refusalP95 { 0 }; // Seconds from sending a model request to its refusal; 95th percentile.
    std::vector<std::string> releaseIds {};
    double seconds { 0 }; // Duration of the run.
};

// Blocks until every request has ended. The duration is bounded by the length of the trace and the attempts of Client.
LoadSummary runLoad(const LoadOptions&, const std::vector<TraceRequest>&);

} // namespace Onyxnotch
