// HTTP requests and responses as plain values, so that only http_server.cpp and http_client.cpp know the library behind them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Onyxnotch {

using HttpHeaders = std::multimap<std::string, std::string>;

struct HttpRequest {
    std::string method {};
    std::string path {};
    std::map<std::string, std::string> query {}; // Decoded.
    std::map<std::string, std::string> headers {}; // Names in lower case.
    std::string body {};
    std::vector<std::string> captures {}; // What the groups of the route's pattern matched.

    std::string header(const std::string& lowerCaseName) const
    {
        auto it = headers.find(lowerCaseName);
        return it == headers.end() ? std::string() : it->second;
    }
    std::string queryValue(const std::string& name) const
    {
        auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }
};

// Writes a part of a streamed body. Returns false where the peer has gone away.
using HttpStreamWriter = std::function<bool(std::string_view)>;

struct HttpResponse {
    int status { 200 };
    HttpHeaders headers {};
    std::string contentType { "application/json" };
    std::string body {};
    // Where set, the body is what this function writes; it runs once on the connection's thread.
    std::function<void(const HttpStreamWriter&)> stream {};
    // Let go once the whole response has been handed to the operating system, or could not be: until then a process that ends would cut it.
    std::shared_ptr<void> releasedWhenWritten {};
};

} // namespace Onyxnotch
