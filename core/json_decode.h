// Reads values out of JSON text that another process sent, and turns any surprise in it into an error.
#pragma once

#include "core/outcome.h"
#include <nlohmann/json.hpp>
#include <string>

namespace Onyxnotch {

// Errors: `code` where the text is no JSON or `read` finds another shape than it expects. `what` names the source in the message.
template <typename Value, typename Read>
Result<Value> decodeJson(const std::string& text, ErrorCode code, const std::string& what, Read read)
{
    try {
        return read(nlohmann::json::parse(text));
    } catch (const std::exception& exception) {
        return Error { code, what + " not understood: " + exception.what() };
    }
}

} // namespace Onyxnotch
