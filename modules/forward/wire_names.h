// The names of the HTTP header fields that the request path reads and writes. The platform adapter sets them; this module defines their
// meaning.
#pragma once

#include <string>
#include <vector>

namespace Onyxnotch {

struct WireNames {
    std::string requestId {}; // Identifies one request as the client sent it; endpoints repeat it in their responses.
    std::string deadline {}; // Milliseconds until the sender (client or this node) stops waiting for the response.
    std::string key {}; // The client's API key; not forwarded to endpoints.
    std::string team {}; // The client's team; set by this node in forwarded requests.
    std::string tokenCounts {}; // "PROMPT,MOST_OUT": tokens of the prompt and maximum output tokens.
    std::string promptParts {}; // "ID:TOKENS,...", the parts of the prompt with ids in hex.
    std::string lastEventId {}; // Id of the last event that the client has received, to resume a stream.
    std::string receipt {}; // In a response: proves that the response comes from the endpoint.
    std::string expectedEndpoint {}; // Id of the endpoint that the request is meant for; any other endpoint refuses the request.
    std::string notRun {}; // In a response: the endpoint did not execute the request.
    std::string leaving {}; // In a response: "1" if the endpoint is draining.
    // In a response: the limit that the endpoint advertises, in requests per second from all nodes together; a decimal number.
    std::string limit {};
    std::string endpointFieldPrefix {}; // Prefix of all header field names with which endpoints report about themselves.
    std::string priority {}; // 0 to 9; 0 is the most urgent.
    std::vector<std::string> ours {}; // Fields that only this node may set in forwarded requests; removed if a client sends them.
    std::vector<std::string> endToEnd {}; // Fields for the final recipient of a request or response; a Connection field cannot remove them.
};

} // namespace Onyxnotch
