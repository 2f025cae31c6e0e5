// The names of header fields on the wire, decided by the platform's adapter. The request path knows only what they mean.
#pragma once

#include <string>
#include <vector>

namespace Onyxnotch {

struct WireNames {
    std::string requestId {}; // Of one try of a caller; endpoints repeat it in their answers.
    std::string deadline {}; // Milliseconds that the caller, or we, still wait.
    std::string key {}; // The caller's key; endpoints never see it.
    std::string team {}; // Set by us.
    std::string tokenCounts {}; // "PROMPT,MOST_OUT".
    std::string promptParts {}; // "ID:TOKENS,…", ids in hex.
    std::string lastEventId {};
    std::string receipt {}; // In an endpoint's answer: proof that it is that endpoint's.
    std::string expectedEndpoint {}; // Any other endpoint refuses the request.
    std::string notRun {}; // In an answer: the endpoint did not run the request.
    std::string leaving {}; // In an answer: "1" where the endpoint leaves.
    std::string limit {}; // In an answer: the requests a second that the endpoint takes from all nodes together, a decimal number.
    std::string endpointFamily {}; // What names of fields begin with by which endpoints say something of themselves.
    std::string priority {}; // 0 to 9, 0 first.
    std::vector<std::string> ours {}; // Fields that only we may set towards endpoints: dropped where a caller sends them.
};

} // namespace Onyxnotch
