// Parses what an endpoint reports about itself in the header fields of a response: draining, requested backoff, advertised limit.
#pragma once

#include "core/clock.h"
#include "core/net/http_parser.h"
#include "modules/forward/wire_names.h"
#include <optional>
#include <string>

namespace Onyxnotch {

struct EndpointNotice {
    bool isDraining { false }; // The endpoint is draining, even if its entry in the endpoint list does not show it.
    std::optional<Milliseconds> backoff {}; // Backoff requested with a 429 or 503: no requests from this node for this duration.
    std::optional<double> limitPerSecond {}; // Advertised limit: requests per second from all nodes together.
    bool hasLimitField { false }; // The limit field is present, even if its value is malformed.
    bool isWellFormed { true }; // False if the value of one of these fields is malformed; the well-formed fields still apply.
    std::string unknownField {}; // Name of the first field with the endpoint prefix that this node does not know; shortened.

    bool operator==(const EndpointNotice&) const = default;
};

// If a field is repeated, the strictest value applies. A backoff is read only from responses with status 429 or 503.
EndpointNotice parseNotice(const HttpHead&, const WireNames&);

} // namespace Onyxnotch
