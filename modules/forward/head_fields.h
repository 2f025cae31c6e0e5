// Parses and formats header fields of forwarded requests and responses.
#pragma once

#include "core/clock.h"
#include "core/net/http_parser.h"
#include "modules/balance/prefix_cache.h"
#include "modules/forward/wire_names.h"
#include <charconv>
#include <optional>

namespace Onyxnotch {

// Whether a header field must not be forwarded: it depends on the message framing or applies to one connection only (RFC 9110, section
// 7.6.1). Connection options that name a field for the final recipient are ignored: removing it would take away what tells whose message it
// is.
bool isHopByHop(const HttpHead&, std::string_view name, const WireNames&);

// Parses `text` as a number. Returns nullopt unless all of the text is a number that fits the type.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text, int base = 10)
{
    Number number {};
    auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number, base);
    if (ec != std::errc() || rest != text.data() + text.size())
        return std::nullopt;
    return number;
}

// Parses "ID:TOKENS,..." with ids in hex; an id that is not hex is hashed. Parsing stops at the first malformed part, because what
// follows it cannot be interpreted.
std::vector<PromptPart> parsePromptParts(std::string_view text);

// The time that a client gives a request: the value of its deadline field in milliseconds, but no more than the timeout of its route, which
// holds if the field is absent or not a number.
Milliseconds requestTimeout(std::string_view deadline, Milliseconds routeTimeout);

// Formats a duration as seconds with two decimals, e.g. "1.50".
std::string formatSeconds(Milliseconds);

} // namespace Onyxnotch
