#include "core/net/decimal.h"

#include <charconv>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumCharacters = 32; // Numbers within this length can neither overflow nor underflow a double.

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    bool isNumber = !text.empty() && text.size() <= maximumCharacters && text.front() >= '0' && text.front() <= '9';
    if (!isNumber)
        return std::nullopt;
    double number = 0;
    auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace Onyxnotch
