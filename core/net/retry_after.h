// Parses the HTTP header field "Retry-After" (RFC 9110, section 10.2.3).
#pragma once

#include "core/clock.h"
#include <optional>
#include <string_view>

namespace Onyxnotch {

// Larger values are reduced to this, so that no received value can overflow a duration.
constexpr Milliseconds maximumParsedRetryAfter { std::chrono::hours(24) };

// Parses a number of seconds, optionally with a fraction, and rounds it up to milliseconds. Returns an empty value for anything else,
// including negative numbers and dates. Dates are not supported because the clock of the sender may differ from the local one.
std::optional<Milliseconds> parseRetryAfter(std::string_view);

} // namespace Onyxnotch
