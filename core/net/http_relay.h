// Passes a call on to another server and its answer back, piece by piece as it arrives.
#pragma once

#include "core/net/http_client.h"
#include <functional>

namespace Onyxnotch {

// Asked between two pieces. A text that is not empty is written as the last piece, and the relay ends.
using RelayInterruption = std::function<std::string()>;

// Errors: as for sendHttp. The response's stream holds the connection open as long as the other server does.
Result<HttpResponse> relayHttp(const Address&, const HttpCall&, RelayInterruption);

} // namespace Onyxnotch
