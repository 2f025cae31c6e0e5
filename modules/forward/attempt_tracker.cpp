#include "modules/forward/attempt_tracker.h"

namespace Onyxnotch {

std::string_view nameOf(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Delivered:
        return "delivered";
    case AttemptOutcome::NotSent:
        return "not_connected";
    case AttemptOutcome::NoConnectionLeft:
        return "no_connection_left";
    case AttemptOutcome::Unwanted:
        return "unwanted";
    case AttemptOutcome::Withheld:
        return "withheld";
    case AttemptOutcome::NotRun:
        return "not_run";
    case AttemptOutcome::MayHaveRun:
        return "broken";
    case AttemptOutcome::FailedAnswer:
        return "failed_answer";
    case AttemptOutcome::StreamBroken:
        return "stream_broken";
    case AttemptOutcome::OutOfTime:
        return "out_of_time";
    case AttemptOutcome::CallerLeft:
        return "caller_left";
    case AttemptOutcome::NodeStopping:
        return "node_stopping";
    }
    return "";
}

void AttemptTracker::onSend()
{
    ++m_attempts;
    m_isInFlight = true;
}

void AttemptTracker::onEnd(AttemptOutcome outcome)
{
    // An attempt that was sent may have been executed, unless the endpoint itself reports that it was not.
    bool mayHaveExecuted = m_isInFlight && outcome != AttemptOutcome::NotRun;
    m_mayHaveExecuted = m_mayHaveExecuted || mayHaveExecuted;
    m_hasFailureResponse = m_hasFailureResponse || outcome == AttemptOutcome::FailedAnswer;
    m_isInFlight = false;
    m_lastOutcome = outcome;
    m_rejected += outcome == AttemptOutcome::NotRun ? 1 : 0;
    if (outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NoConnectionLeft || outcome == AttemptOutcome::Unwanted)
        ++m_unsent;
}

bool AttemptTracker::mayRetry(const std::function<bool()>& acquireRetry)
{
    switch (m_lastOutcome) {
    case AttemptOutcome::NotSent:
    case AttemptOutcome::NoConnectionLeft:
    case AttemptOutcome::Unwanted:
        // No endpoint received the request, so the retry is not charged to the budget.
        return m_unsent < m_options.maximumUnsent;
    case AttemptOutcome::NotRun:
        break;
    case AttemptOutcome::MayHaveRun:
    case AttemptOutcome::FailedAnswer:
    case AttemptOutcome::StreamBroken:
        if (!m_options.repeatable)
            return false;
        break;
    case AttemptOutcome::Withheld:
    case AttemptOutcome::Delivered:
    case AttemptOutcome::OutOfTime:
    case AttemptOutcome::CallerLeft:
    case AttemptOutcome::NodeStopping:
        return false;
    }
    return m_attempts - m_rejected < m_options.maximumExecutions && m_rejected < m_options.maximumRejections && acquireRetry();
}

FinalResponse AttemptTracker::finalResponse(bool streamStarted) const
{
    if (streamStarted)
        return FinalResponse::TruncatedStream;
    if (m_lastOutcome == AttemptOutcome::CallerLeft)
        return FinalResponse::None;
    if (m_hasFailureResponse)
        return FinalResponse::EndpointFailure;
    if (neverExecuted())
        return FinalResponse::Refusal;
    bool isOutOfTime = m_lastOutcome == AttemptOutcome::OutOfTime || m_lastOutcome == AttemptOutcome::NodeStopping;
    return isOutOfTime ? FinalResponse::OutOfTime : FinalResponse::Unknown;
}

} // namespace Onyxnotch
