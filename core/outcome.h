// Outcomes: every operation that can fail returns a value that says so.
// Exceptions are caught at the edge of each library that throws; none crosses our own interfaces.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace Onyxnotch {

// What kind of failure happened. Callers branch on the code; people read the message.
enum class ErrorCode {
    InvalidArgument, // The input is malformed or breaks a rule.
    NotFound, // The thing asked for does not exist.
    Conflict, // A conditional update lost, or two declarations disagree.
    Unauthorized, // The caller's key is missing or unknown, or the object belongs to another team.
    Unavailable, // The peer refused or could not be reached; it has certainly not acted.
    Ambiguous, // The peer may have acted; its answer was lost.
    Exhausted, // A limit that settings name is reached.
    Stopped, // This process is leaving.
};

std::string_view toString(ErrorCode);

// A failure: its kind, and a sentence for people.
struct Error {
    ErrorCode code { ErrorCode::InvalidArgument };
    std::string message {};

    bool operator==(const Error&) const = default;
};

// Reading the wrong half of an outcome is a broken invariant and stops the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using Status = Result<void>;

// The success value of a Status.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace Onyxnotch
