// Text of other writers that may hold bytes which are no UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace Onyxnotch {

// Stands where bytes could not be read (U+FFFD).
constexpr std::string_view replacementCharacter = "\xEF\xBF\xBD";

// The text with a mark in the place of each byte that belongs to no character. A text that is sound comes back as it is.
std::string sanitizeUtf8(std::string text);

} // namespace Onyxnotch
