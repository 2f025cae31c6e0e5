#include "modules/request/request_outcome.h"

#include <nlohmann/json.hpp>

namespace Onyxnotch {

std::string toString(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Running:
        return "running";
    case RequestOutcome::Completed:
        return "completed";
    case RequestOutcome::NotRun:
        return "not_run";
    case RequestOutcome::Failed:
        return "failed";
    case RequestOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string errorBody(const RequestError& error, const std::string& requestId)
{
    nlohmann::json body { { "outcome", toString(error.outcome) }, { "message", error.reason }, { "type", "onyxnotch_" + toString(error.outcome) } };
    if (!requestId.empty())
        body["request_id"] = requestId;
    if (error.retryAfter.count() > 0)
        body["retry_after_ms"] = error.retryAfter.count();
    if (!error.addresses.empty())
        body["addresses"] = error.addresses;
    if (!error.ticket.empty())
        body["ticket"] = error.ticket;
    return nlohmann::json { { "error", body } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Onyxnotch
