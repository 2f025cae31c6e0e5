// Forwards a call to an endpoint of a plain service. A call that may not be repeated is sent again only if the endpoint certainly did not
// start it; a repeatable one is retried within the attempt limit and the node's retry budget.
#pragma once

#include "core/metrics.h"
#include "core/net/http_client.h"
#include "modules/admission/admission_control.h"
#include "modules/request/endpoint_directory.h"
#include "modules/request/request_outcome.h"
#include "modules/suspects/shared_suspects.h"
#include <atomic>

namespace Onyxnotch {

struct PlainRequest {
    std::string id {};
    std::string team {};
    std::string service {};
    std::string method {};
    std::string path {}; // Path within the service, with a leading slash.
    std::string body {};
    std::string contentType {};
    bool repeatable { false };

    bool operator==(const PlainRequest&) const = default;
};

struct PlainAnswer {
    RequestOutcome outcome { RequestOutcome::Failed };
    int httpStatus { 0 };
    std::string contentType {};
    std::string body {};
    std::string reason {}; // Why there is no completed answer.

    bool operator==(const PlainAnswer&) const = default;
};

struct PlainCallOptions {
    Milliseconds silenceLimit { 30000 }; // Maximum time without receiving a byte from the endpoint.
    std::size_t maximumAnswerBytes { 16U << 20U };
    unsigned maximumAttempts { 4 };
    Milliseconds firstBackoff { 20 }; // Delay before the second attempt; doubled before each further one.
};

// One call in progress. Another thread may abandon it with giveUp(); its outcome is then unknown if it may have been executed.
class PlainCall {
public:
    PlainCall(const PlainCallOptions&, const EndpointDirectory&, RetryBudget&, SharedSuspects&, Metrics&);

    // Blocks until there is an answer, or until no further attempt is allowed.
    PlainAnswer run(const PlainRequest&, SteadyTime deadline);
    // Cancels the attempt in progress, so that run() returns soon. Called by another thread.
    void giveUp();

private:
    // Chooses the endpoint with the fewest calls of this node in flight, of those that have a credit left, and takes the credit. Empty if
    // none has one.
    std::optional<PlainEndpoint> chooseWithCredit(std::vector<PlainEndpoint>) const;
    // As tryEndpoint(), and reports to the suspect tracker how the call ended.
    std::optional<PlainAnswer> tryAndReport(const PlainRequest&, const PlainEndpoint&, SteadyTime deadline);
    // Sends the call to one endpoint. Empty if the endpoint certainly did not start it, so that another one may be tried.
    std::optional<PlainAnswer> tryEndpoint(const PlainRequest&, const PlainEndpoint&, SteadyTime deadline);

    PlainCallOptions m_options;
    const EndpointDirectory& m_directory;
    RetryBudget& m_retries;
    SharedSuspects& m_suspects;
    Metrics& m_metrics;
    std::mutex m_mutex;
    HttpStream* m_stream { nullptr };
    bool m_isAbandoned { false };
};

} // namespace Onyxnotch
