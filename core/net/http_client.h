// HTTP calls on cpp-httplib, each on a connection of its own, so that a failure says whether the peer can have acted.
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
    Milliseconds readTimeout { 2000 }; // Between two arrivals of bytes, not for the whole answer.
};

struct HttpReply {
    int status { 0 };
    std::map<std::string, std::string> headers {}; // Names in lower case.
    std::string body {};

    bool ok() const { return status >= 200 && status < 300; }
    std::string header(const std::string& lowerCaseName) const
    {
        auto it = headers.find(lowerCaseName);
        return it == headers.end() ? std::string() : it->second;
    }
};

// The path with the query behind it, percent-encoded (RFC 3986).
std::string pathWithQuery(const std::string& path, const std::map<std::string, std::string>& query);

// Errors: Unavailable where no byte of the call left this process; Ambiguous in every other case.
Result<HttpReply> sendHttp(const Address&, const HttpCall&);

// A call whose answer is read piece by piece, and which another thread may cut short.
class HttpStream {
public:
    // Return false to end the call.
    using HeaderReceiver = std::function<bool(const HttpReply&)>; // The body is still empty.
    using DataReceiver = std::function<bool(std::string_view)>;

    explicit HttpStream(const Address&);
    ~HttpStream();
    HttpStream(const HttpStream&) = delete;
    HttpStream& operator=(const HttpStream&) = delete;

    // Blocks until the answer has ended. Success means that it ended as HTTP says it must; one that a receiver ended or that
    // was cut short is an error. Errors as for sendHttp.
    Status run(const HttpCall&, const HeaderReceiver&, const DataReceiver&);
    // Ends run() soon, from any thread; also one that has not begun.
    void cancel();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
