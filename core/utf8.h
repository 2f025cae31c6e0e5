// Sanitizes text from other processes that may not be valid UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace Onyxnotch {

// The Unicode replacement character (U+FFFD), which replaces invalid bytes.
constexpr std::string_view replacementCharacter = "\xEF\xBF\xBD";

// Replaces each byte that is not part of a valid UTF-8 sequence by `replacementCharacter`. Valid text is returned unchanged.
std::string sanitizeUtf8(std::string text);

} // namespace Onyxnotch
