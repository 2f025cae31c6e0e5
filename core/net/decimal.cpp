#include "core/net/decimal.h"

#include <charconv>

namespace Onyxnotch {

namespace {

    constexpr std::size_t longestNumber = 32; // Of characters: no more can over- or underflow.

} // namespace

std::optional<double> parseDecimal(std::string_view text)
{
    bool isNumber = !text.empty() && text.size() <= longestNumber && text.front() >= '0' && text.front() <= '9';
    if (!isNumber)
        return std::nullopt;
    double number = 0;
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    if (ec != std::errc() || rest != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace Onyxnotch
