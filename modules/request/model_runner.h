// Runs a model request from its first attempt to its final outcome. Continues the answer at the same or another engine when an engine fails
// or drains.
#pragma once

#include "core/metrics.h"
#include "modules/admission/admission_control.h"
#include "modules/request/active_request.h"
#include "modules/request/endpoint_directory.h"
#include "modules/request/reclaim_plan.h"
#include "modules/suspects/shared_suspects.h"
#include <functional>

namespace Onyxnotch {

struct ModelRunnerOptions {
    std::string node {};
    std::uint64_t incarnation { 0 };
    unsigned maximumAttempts { 12 }; // For one request, not counting resumes.
    unsigned maximumResumes { 3 }; // Consecutive resumes at one engine without new text.
    Milliseconds endpointWait { 5000 }; // How long to wait for an endpoint if none can be chosen.
    Milliseconds firstBackoff { 20 }; // Delay before the attempt after a refusal; doubled each time, with jitter.
    Milliseconds unreadLimit { 30000 }; // A request whose answer is not read for this long is cancelled.
    ReclaimOptions reclaim;
};

class ModelRunner {
public:
    ModelRunner(const ModelRunnerOptions&, const EndpointDirectory&, RetryBudget&, SharedSuspects&, Metrics&);

    // Blocks until the request has a final outcome or is interrupted for a handover. In the latter case the answer's outcome is still
    // Running.
    void run(ActiveRequest&) const;
    // Decides what to do with a request whose endpoint is draining. `concurrentTransfers` counts the other streams that leave that
    // endpoint.
    ReclaimDecision planForDrainingEndpoint(const ActiveRequest&, double concurrentTransfers) const;

private:
    struct Progress;
    enum class Step {
        Continue,
        Stop,
    };

    // Performs the next step: starts an attempt, resumes the current one or moves it off a draining endpoint.
    Step attemptOnce(ActiveRequest&, Progress&) const;
    Step startAttempt(ActiveRequest&, Progress&) const;
    Step resumeAttempt(ActiveRequest&, Progress&) const;
    Step onStreamEnd(ActiveRequest&, Progress&, EngineStreamEnd) const;
    Step moveOffEndpoint(ActiveRequest&, Progress&) const;
    bool transferCache(ActiveRequest&, const Endpoint& target) const;
    EventVerdict receive(ActiveRequest&, const std::string& attempt, const EngineEvent&) const;
    Step finish(ActiveRequest&, RequestOutcome, const std::string& reason) const;
    // Ends the current attempt, excludes its endpoint from this run and asks its engine, which may still run it, to cancel it.
    void abandonAttempt(ActiveRequest&, Progress&, const std::string& reason) const;
    // As abandonAttempt(), if the engine is unreachable or lost the stream. Reported to the suspect tracker unless the endpoint is
    // draining.
    void onEngineLost(ActiveRequest&, Progress&, const std::string& reason) const;
    bool isSendingAllowed(const ActiveRequest&) const;
    void reportAttemptEnded(const ActiveRequest&) const;
    std::string newAttemptId() const;

    ModelRunnerOptions m_options;
    const EndpointDirectory& m_directory;
    RetryBudget& m_retries;
    SharedSuspects& m_suspects;
    Metrics& m_metrics;
    mutable std::atomic<std::uint64_t> m_nextAttempt { 1 };
};

// Estimated number of tokens of a text, at 4 bytes a token.
unsigned estimateTokens(std::string_view text);

// Digest that is equal for model requests with the same team, service and prompt.
RequestDigest digestOf(const RequestDescription&);

// Hash of the first 512 bytes of a prompt, which requests of the same kind often share.
std::uint64_t prefixHashOf(std::string_view prompt);

} // namespace Onyxnotch
