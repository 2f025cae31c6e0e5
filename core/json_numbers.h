// Reads numbers from JSON that another process wrote. The library converts without a check: the conversion of a number that does not fit is
// undefined for a floating-point number, and gives another number for an integer.
#pragma once

#include <algorithm>
#include <cmath>
#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

namespace Onyxnotch {

// Returns nullopt if the value is no integer or does not fit.
inline std::optional<std::int64_t> integerIn(const nlohmann::json& value)
{
    if (!value.is_number_integer())
        return std::nullopt;
    bool isTooLarge = value.is_number_unsigned() && !std::in_range<std::int64_t>(value.get<std::uint64_t>());
    return isTooLarge ? std::nullopt : std::optional(value.get<std::int64_t>());
}

// Converts a number to an integer, without its fraction. Throws std::out_of_range if it does not fit, and as nlohmann::json::get() if the
// value is no number.
template <std::integral Integer>
Integer toInteger(const nlohmann::json& value)
{
    auto refuse = [] { throw std::out_of_range("number out of range"); };
    if (value.is_number_float()) {
        // Both bounds are exact: powers of two, or zero.
        auto lowest = static_cast<double>(std::numeric_limits<Integer>::min());
        auto beyond = std::ldexp(1.0, std::numeric_limits<Integer>::digits);
        auto number = value.get<double>();
        if (!(number >= lowest && number < beyond))
            refuse();
        return static_cast<Integer>(number);
    }
    bool fits = value.is_number_unsigned() ? std::in_range<Integer>(value.get<std::uint64_t>()) : std::in_range<Integer>(value.get<std::int64_t>());
    if (!fits)
        refuse();
    return value.get<Integer>();
}

// Whether each floating-point number in the document can be converted to a 64-bit integer, or to an unsigned one if it is not negative, so
// that the library's conversions are defined whatever type they convert to.
inline bool hasConvertibleNumbers(const nlohmann::json& document)
{
    constexpr double beyond = 9223372036854775808.0; // 2 to the power of 63.
    if (document.is_number_float())
        return document.get<double>() > -1 && document.get<double>() < beyond;
    if (!document.is_structured())
        return true;
    return std::all_of(document.begin(), document.end(), hasConvertibleNumbers);
}

} // namespace Onyxnotch
