// Decodes JSON text received from another process and converts parse and type errors into Error values.
#pragma once

#include "core/json_numbers.h"
#include "core/json_slices.h"
#include "core/outcome.h"
#include <nlohmann/json.hpp>
#include <string>

namespace Onyxnotch {

// Parses `text` and converts it with `read`. Errors: `code` if the text is not valid JSON, is nested deeper than `maximumJsonDepth` levels,
// has a number that cannot be converted, or if `read` throws. `what` names the source of the text in the error message.
template <typename Value, typename Read>
Result<Value> decodeJson(const std::string& text, ErrorCode code, const std::string& what, Read read)
{
    auto document = parseJsonSlice(text);
    if (!document || !hasConvertibleNumbers(*document))
        return Error { code, what + " not understood: not valid JSON, nested too deeply, or with a number out of range" };
    try {
        return read(*document);
    } catch (const std::exception& exception) {
        return Error { code, what + " not understood: " + exception.what() };
    }
}

} // namespace Onyxnotch
