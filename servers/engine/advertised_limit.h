// Parses the request rate limit that an engine or a plain endpoint behind the gateways advertises in the response header field
// "Onyxnotch-Limit": requests per second that it accepts from all gateways together.
#pragma once

#include "core/net/decimal.h"
#include "core/net/http_client.h"

namespace Onyxnotch {

constexpr auto limitHeader = "onyxnotch-limit";

// Returns nothing if the field is missing or not a decimal number.
inline std::optional<double> advertisedLimit(const HttpReply& reply) { return parseDecimal(reply.header(limitHeader)); }

} // namespace Onyxnotch
