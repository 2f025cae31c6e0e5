// A call to a plain service: forwarded once where it may not be repeated, retried within limits where it may.
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
    std::string path {}; // Within the service, with a leading slash.
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
    std::string reason {}; // Where it is not completed.

    bool operator==(const PlainAnswer&) const = default;
};

struct PlainCallOptions {
    Milliseconds silenceLimit { 30000 }; // Between two arrivals of bytes from the endpoint.
    std::size_t maximumAnswerBytes { 16U << 20U };
    unsigned maximumAttempts { 4 };
    Milliseconds firstBackoff { 20 };
};

// One call in progress. Another thread may give up on it, which leaves its outcome unknown.
class PlainCall {
public:
    PlainCall(const PlainCallOptions&, const EndpointDirectory&, RetryBudget&, SharedSuspects&, Metrics&);

    PlainAnswer run(const PlainRequest&, SteadyTime deadline);
    // Ends run() soon.
    void giveUp();

private:
    // Empty where the endpoint certainly did not start it, so that another one may be tried.
    std::optional<PlainEndpoint> chooseWithCredit(std::vector<PlainEndpoint>) const;
    std::optional<PlainAnswer> trySuspected(const PlainRequest&, const PlainEndpoint&, SteadyTime deadline);
    std::optional<PlainAnswer> tryEndpoint(const PlainRequest&, const PlainEndpoint&, SteadyTime deadline);

    PlainCallOptions m_options;
    const EndpointDirectory& m_directory;
    RetryBudget& m_retries;
    SharedSuspects& m_suspects;
    Metrics& m_metrics;
    std::mutex m_mutex;
    HttpStream* m_stream { nullptr };
    bool m_givenUp { false };
};

} // namespace Onyxnotch
