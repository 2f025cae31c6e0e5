// Reading and writing the fields of forwarded heads.
#pragma once

#include "core/clock.h"
#include "core/net/http_parser.h"
#include "modules/balance/prefix_cache.h"
#include <charconv>
#include <optional>

namespace Onyxnotch {

// Whether a field of this head concerns one connection only (RFC 9110, 7.6.1), or is decided by the framing.
bool concernsConnection(const HttpHead&, std::string_view name);

// The whole text as a number; empty where it is none.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number {};
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (ec != std::errc() || rest != text.data() + text.size())
        return std::nullopt;
    return number;
}

// "ID:TOKENS,..." with ids in hex. Parts that are not understood end the list: nothing is known of what follows.
std::vector<PromptPart> parsePromptParts(std::string_view text);

// As "1.50".
std::string secondsText(Milliseconds);

} // namespace Onyxnotch
