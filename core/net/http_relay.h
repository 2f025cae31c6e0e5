// Forwards an HTTP call to another server and streams the response body back as it arrives.
#pragma once

#include "core/net/http_client.h"
#include <functional>

namespace Onyxnotch {

// Polled while the body is streamed, whenever the part written so far ends with a complete server-sent event. If it returns a non-empty
// text, this text is written as the last part and the response ends.
using RelayInterruption = std::function<std::string()>;

// Blocks until the head of the response has arrived. The stream function of the returned response writes the body until the other server
// ends it. Errors: as for sendHttp().
Result<HttpResponse> relayHttp(const Address&, const HttpCall&, RelayInterruption);

} // namespace Onyxnotch
