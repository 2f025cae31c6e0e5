// How many requests a second an engine or a plain endpoint of the own interface takes from all gateways together, as an answer names it in
// the field "Onyxnotch-Limit".
#pragma once

#include "core/net/decimal.h"
#include "core/net/http_client.h"

namespace Onyxnotch {

constexpr auto limitHeader = "onyxnotch-limit";

// Empty where the answer names none, or something that is no decimal number.
inline std::optional<double> namedLimit(const HttpReply& reply) { return parseDecimal(reply.header(limitHeader)); }

} // namespace Onyxnotch
