// Decides from the results of requests whether an endpoint is used or excluded for a time. Pure state machine with the time passed in;
// health checks are not an input.
#pragma once

#include "core/clock.h"

namespace Onyxnotch {

struct EndpointHealthOptions {
    double maximumFailureFraction { 0.3 }; // Above it the endpoint is excluded. Up to 14% of requests to plain services fail normally.
    double minimumRequests { 3 }; // Decayed number of recent requests from which on the failure fraction is evaluated.
    double decayPerRequest { 0.9 }; // Factor on the weight of all earlier requests at each new one.
    unsigned unreachableLimit { 2 }; // Consecutive failed connections that exclude the endpoint.
    Milliseconds firstExclusion { 1000 }; // Duration of the first exclusion; doubles each time up to `longestRest`.
    Milliseconds longestExclusion { 8000 };
    // An endpoint that refuses requests without a backoff time answers faster than any other and has nothing in flight, so it would be
    // chosen for the next request too. It is paused for `firstPause`, doubled at each refusal up to `longestPause`.
    Milliseconds firstPause { 100 };
    Milliseconds longestPause { 1000 };
};

class EndpointHealth {
public:
    explicit EndpointHealth(const EndpointHealthOptions& options = {});

    void onSuccess();
    // The answer was truncated, malformed or too late, or the endpoint reported a failure of its own.
    void onFailure(SteadyTime now);
    void onUnreachable(SteadyTime now);
    // The endpoint refused the request without executing it. Does not count as a failure.
    void onRequestRefused(SteadyTime now);
    bool isUsable(SteadyTime now) const { return now >= m_excludedUntil; }
    double failures() const { return m_requests > 0 ? m_failures / m_requests : 0; }

private:
    void exclude(SteadyTime now);

    EndpointHealthOptions m_options;
    double m_requests { 0 };
    double m_failures { 0 };
    unsigned m_unreachable { 0 };
    Milliseconds m_nextExclusion;
    Milliseconds m_nextPause;
    SteadyTime m_excludedUntil {};
};

} // namespace Onyxnotch
