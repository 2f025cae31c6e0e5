// How a request can end, and how that is said to callers.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <string>
#include <vector>

namespace Onyxnotch {

enum class RequestOutcome : std::uint8_t {
    Running, // No answer yet.
    Completed,
    NotRun, // No part of it ran, and none will under this request id.
    Failed, // It ran, and its answer is an error.
    Unknown, // It may have run.
};

std::string toString(RequestOutcome);

// A final answer other than a completed one.
struct RequestError {
    RequestOutcome outcome { RequestOutcome::Failed };
    int httpStatus { 500 };
    std::string reason {};
    Milliseconds retryAfter { 0 }; // When to come back; 0 where coming back makes no sense.
    std::vector<std::string> addresses {}; // Where to go instead; may be empty.
    std::string ticket {}; // A fresh one, where the request needs one.

    bool operator==(const RequestError&) const = default;
};

// The JSON body that callers get.
std::string errorBody(const RequestError&, const std::string& requestId);

} // namespace Onyxnotch
