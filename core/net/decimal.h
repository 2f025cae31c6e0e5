// Parses decimal numbers in HTTP header fields: digits with an optional fraction after a point. Signs, exponents, hexadecimal digits,
// infinity and spaces are not accepted.
#pragma once

#include <optional>
#include <string_view>

namespace Onyxnotch {

// Returns an empty value for anything else, and for text longer than 32 characters.
std::optional<double> parseDecimal(std::string_view);

} // namespace Onyxnotch
