// Reads integers from JSON that another process wrote, without undefined conversions of values that do not fit.
#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace Onyxnotch {

// Returns nullopt if the value is no integer or does not fit.
inline std::optional<std::int64_t> integerIn(const nlohmann::json& value)
{
    if (!value.is_number_integer())
        return std::nullopt;
    bool isTooLarge = value.is_number_unsigned() && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return isTooLarge ? std::nullopt : std::optional(value.get<std::int64_t>());
}

} // namespace Onyxnotch
