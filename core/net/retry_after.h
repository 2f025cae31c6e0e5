// The time that a refusal names, in a field "Retry-After" (RFC 9110, 10.2.3).
#pragma once

#include "core/clock.h"
#include <optional>
#include <string_view>

namespace Onyxnotch {

// More is taken as this: nothing that a peer says may overflow a time.
constexpr Milliseconds maximumParsedRetryAfter { std::chrono::hours(24) };

// Seconds, which may have a fraction and are rounded up to milliseconds. A number below zero, a date (its clock is not ours) or anything
// else is not understood: empty.
std::optional<Milliseconds> parseRetryAfter(std::string_view);

} // namespace Onyxnotch
