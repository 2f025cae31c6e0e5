// Decimal numbers in header fields: digits, and a fraction after a point. No sign, exponent, hexadecimal digits, infinity or blanks.
#pragma once

#include <optional>
#include <string_view>

namespace Onyxnotch {

// Empty for anything else, and for more characters than a number needs.
std::optional<double> parseDecimal(std::string_view);

} // namespace Onyxnotch
