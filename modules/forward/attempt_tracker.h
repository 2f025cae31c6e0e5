// Tracks the attempts of one request: decides after each whether a retry is allowed, and which final response its client may get.
// A state machine without I/O.
#pragma once

#include <functional>
#include <string_view>

namespace Onyxnotch {

// How an attempt at one endpoint ended. nameOf() returns the name that logs and metrics use.
enum class AttemptOutcome {
    Delivered, // The client has received the complete response.
    NotSent, // No byte was sent to an endpoint, e.g. because the connection failed.
    NoConnectionLeft, // No byte was sent: this node already has the maximum number of connections to the endpoint.
    Unwanted, // No byte was sent: while connecting, the endpoint began to drain, requested a backoff or had no credit left.
    Withheld, // No byte was sent: the request is suspected of making endpoints fail.
    NotRun, // The endpoint reported that it did not execute the request.
    MayHaveRun, // The endpoint may have executed the request; nothing was passed on to the client.
    FailedAnswer, // The endpoint sent a complete response with a 5xx status.
    StreamBroken, // The event stream failed after a part of it was passed on to the client.
    OutOfTime, // The deadline passed before the response was complete.
    CallerLeft, // The client disconnected.
    NodeStopping, // This node ended the attempt, or made none, because it stops.
};

std::string_view nameOf(AttemptOutcome);

// How a request that is not retried ends for its client.
enum class FinalResponse {
    None, // Nothing is sent: the client has disconnected.
    TruncatedStream, // The client has received a part of a stream. Its connection is reset so that the stream does not look complete.
    EndpointFailure, // The 5xx response of an endpoint is passed on.
    OutOfTime, // The deadline has passed, or this node stops; the request may have been executed.
    Unknown, // No usable response; the request may have been executed.
    Refusal, // The request was not executed and will not be.
};

struct AttemptTrackerOptions {
    bool repeatable { false }; // The request may be sent again after an attempt that may have executed it.
    unsigned maximumExecutions { 1 }; // Limit on attempts that sent bytes and that the endpoint did not report as not executed.
    // Limit on attempts that endpoints report as not executed; then the request is refused. They do not count against the route's number
    // of attempts, but each retry is charged to the service's retry budget.
    unsigned maximumRejections { 4 };
    // Limit on attempts that sent no byte; then the request is refused, because more of them mean an outage, which other nodes may not see.
    unsigned maximumUnsent { 4 };
};

class AttemptTracker {
public:
    explicit AttemptTracker(const AttemptTrackerOptions& options = {})
        : m_options(options)
    {
    }

    // Call before the first byte is sent to an endpoint. The attempt counts as possibly executed unless it ends as NotRun.
    void onSend();
    // Call when an attempt has ended, whether or not onSend() was called for it.
    void onEnd(AttemptOutcome);
    // Whether another attempt is allowed after the last one. `acquireRetry` takes one retry from the service's retry budget and returns
    // false if there is none. It is called only for a retry that is otherwise allowed, and only if the last attempt sent bytes to an
    // endpoint, including an attempt that the endpoint reported as not executed. A retry after an attempt that sent no byte is free.
    bool mayRetry(const std::function<bool()>& acquireRetry);
    // How the request ends for the client. `streamStarted`: a part of a stream has been passed on.
    FinalResponse finalResponse(bool streamStarted) const;

    unsigned attempts() const { return m_attempts; }
    // Whether no endpoint can have executed the request.
    bool neverExecuted() const { return !m_mayHaveExecuted && !m_isInFlight; }

private:
    AttemptTrackerOptions m_options;
    AttemptOutcome m_lastOutcome { AttemptOutcome::NotSent };
    unsigned m_attempts { 0 };
    unsigned m_rejected { 0 }; // Attempts, among `m_attempts`, that endpoints reported as not executed.
    unsigned m_unsent { 0 }; // Attempts that sent no byte.
    bool m_isInFlight { false }; // An attempt was sent and has not ended.
    bool m_mayHaveExecuted { false };
    bool m_hasFailureResponse { false };
};

} // namespace Onyxnotch
