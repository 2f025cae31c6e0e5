// Decodes JSON text received from another process and converts parse and type errors into Error values.
#pragma once

#include "core/outcome.h"
#include <nlohmann/json.hpp>
#include <string>

namespace Onyxnotch {

// Parses `text` and converts it with `read`. Errors: `code` if the text is not valid JSON or `read` throws. `what` names the source of the
// text in the error message.
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
