#include "core/outcome.h"

namespace Onyxnotch {

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unauthorized:
        return "unauthorized";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Ambiguous:
        return "ambiguous";
    case ErrorCode::Disconnected:
        return "disconnected";
    case ErrorCode::Exhausted:
        return "exhausted";
    case ErrorCode::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace Onyxnotch
