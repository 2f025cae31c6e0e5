// Runs a model request from its first attempt to its final outcome, over engines that fail and leave.
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
    unsigned maximumAttempts { 12 }; // Of one request, resumes not counted.
    unsigned maximumResumes { 3 }; // In a row at one engine without a new byte.
    Milliseconds endpointWait { 5000 }; // For an endpoint to appear, where none serves the model.
    Milliseconds firstBackoff { 20 }; // Between attempts; doubled, with jitter.
    Milliseconds unreadLimit { 30000 }; // A request that nobody reads for so long is cancelled.
    ReclaimOptions reclaim;
};

class ModelRunner {
public:
    ModelRunner(const ModelRunnerOptions&, const EndpointDirectory&, RetryBudget&, SharedSuspects&, Metrics&);

    // Returns at the final outcome, or where the request was interrupted for a handover. The answer's outcome says which.
    void run(ActiveRequest&) const;
    // What should happen to a stream whose endpoint is leaving.
    ReclaimDecision planFor(const ActiveRequest&, double transfersAhead) const;

private:
    struct Progress;
    enum class Step {
        Continue,
        Stop,
    };

    Step attemptOnce(ActiveRequest&, Progress&) const;
    Step startAttempt(ActiveRequest&, Progress&) const;
    Step resumeAttempt(ActiveRequest&, Progress&) const;
    Step afterStream(ActiveRequest&, Progress&, EngineStreamEnd) const;
    Step leaveEndpoint(ActiveRequest&, Progress&) const;
    bool transferCache(ActiveRequest&, const Endpoint& target) const;
    EventVerdict receive(ActiveRequest&, const std::string& attempt, const EngineEvent&) const;
    Step finish(ActiveRequest&, RequestOutcome, const std::string& reason) const;
    // The attempt is over, and its engine may live.
    void abandonAttempt(ActiveRequest&, Progress&, const std::string& reason) const;
    // Its engine is gone, or has started anew since.
    void loseEngine(ActiveRequest&, Progress&, const std::string& reason) const;
    bool mayStart(const ActiveRequest&) const;
    void noteEnded(const ActiveRequest&) const;
    std::string newAttemptId() const;

    ModelRunnerOptions m_options;
    const EndpointDirectory& m_directory;
    RetryBudget& m_retries;
    SharedSuspects& m_suspects;
    Metrics& m_metrics;
    mutable std::atomic<std::uint64_t> m_nextAttempt { 1 };
};

// Stands for the tokens of a text where only an estimate is needed.
unsigned estimateTokens(std::string_view text);

// What makes two model requests the same.
RequestDigest digestOf(const RequestDescription&);

// Of the beginning of a prompt, which requests of the same kind share.
std::uint64_t prefixHashOf(std::string_view prompt);

} // namespace Onyxnotch
