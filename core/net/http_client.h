// Blocking HTTP client. Each call uses its own connection, so that a failure tells whether the server may have executed the request.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_message.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

struct HttpCall {
    std::string method { "GET" };
    std::string path {};
    HttpHeaders headers {};
    std::string body {};
    std::string contentType { "application/json" };
    Milliseconds connectTimeout { 500 };
    Milliseconds readTimeout { 2000 }; // Maximum time without receiving data; sendHttp() allows a few times as much for the complete body.
};

struct HttpReply {
    int status { 0 };
    std::map<std::string, std::string> headers {}; // Names are lower case.
    std::string body {};

    bool ok() const { return status >= 200 && status < 300; }
    std::string header(const std::string& lowerCaseName) const
    {
        auto it = headers.find(lowerCaseName);
        return it == headers.end() ? std::string() : it->second;
    }
};

// Appends the query to the path; names and values are percent-encoded (RFC 3986).
std::string pathWithQuery(const std::string& path, const std::map<std::string, std::string>& query);

// Errors: Unavailable if the connection could not be established, so that no byte was sent; Ambiguous in all other cases, also if the response
// is malformed or its body encoded, or if the body is larger than 16 MiB or takes too long.
Result<HttpReply> sendHttp(const Address&, const HttpCall&);

// An HTTP call whose response body is processed as it arrives, and which can be cancelled from another thread.
class HttpStream {
public:
    // Receivers return false to abort the call.
    using HeaderReceiver = std::function<bool(const HttpReply&)>; // Called with an empty body.
    using DataReceiver = std::function<bool(std::string_view)>;

    explicit HttpStream(const Address&);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

    // Blocks until the response is complete. A truncated response, or one aborted by a receiver, is an error. Errors: as for sendHttp().
    Status run(const HttpCall&, const HeaderReceiver&, const DataReceiver&);
    // Aborts run(); a later run() fails immediately. May be called from any thread.
    void cancel();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
