// Result and error types. Every operation that can fail returns a Result or Status. Exceptions of third-party libraries are caught where
// the library is called and never propagate through the interfaces of this project.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>

namespace Onyxnotch {

// Kind of a failure. Program logic uses only the code; the message is for humans.
enum class ErrorCode {
    InvalidArgument, // The input is malformed or violates a rule.
    NotFound, // The requested object does not exist.
    Conflict, // The condition of an update was not met, or two declarations contradict each other.
    Unauthorized, // The client's API key is missing or unknown, or the object belongs to another team.
    Unavailable, // The peer refused or was unreachable; it has definitely not executed the operation.
    Ambiguous, // The response was lost; the peer may have executed the operation.
    Disconnected, // The peer ended the connection before it had responded; it may have executed the operation.
    Exhausted, // A limit has been reached.
    Stopped, // This process is shutting down.
};

std::string_view toString(ErrorCode);

// A failure: its kind, and a human-readable message.
struct Error {
    ErrorCode code { ErrorCode::InvalidArgument };
    std::string message {};

    bool operator==(const Error&) const = default;
};

// A value or an Error. Accessing the one that is not present is a programming error and terminates the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using Status = Result<void>;

// A Status without error.
inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace Onyxnotch
