// Outcomes of a request, and the error body that reports them to clients.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Onyxnotch {

enum class RequestOutcome : std::uint8_t {
    Running, // No final outcome yet.
    Completed,
    NotRun, // No part of the request was executed, and none will be under this request id.
    Failed, // The request was executed, and its answer is an error.
    Unknown, // The request may have been executed.
};

std::string toString(RequestOutcome);

// Final answer to a request that did not complete.
struct RequestError {
    RequestOutcome outcome { RequestOutcome::Failed };
    int httpStatus { 500 };
    std::string reason {};
    Milliseconds retryAfter { 0 }; // When the client should retry; 0 if a retry makes no sense.
    std::vector<std::string> addresses {}; // Gateways to use instead; may be empty.
    std::string ticket {}; // A new ticket, if the request needs one.

    bool operator==(const RequestError&) const = default;
};

// JSON body of an error response to a client. Fields that are empty or 0 are left out.
std::string errorBody(const RequestError&, const std::string& requestId);

} // namespace Onyxnotch
