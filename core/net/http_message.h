// HTTP requests and responses as plain structs, so that only http_server.cpp depends on the HTTP library.
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
    std::map<std::string, std::string> query {}; // Percent-decoded.
    std::map<std::string, std::string> headers {}; // Names are lower case.
    std::string body {};
    std::vector<std::string> captures {}; // Text matched by the capture groups of the route's pattern.

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

// Writes a part of a streamed body. Returns false if the client has disconnected.
using HttpStreamWriter = std::function<bool(std::string_view)>;

struct HttpResponse {
    int status { 200 };
    HttpHeaders headers {};
    std::string contentType { "application/json" };
    std::string body {};
    // If set, this function writes the body instead of `body`. Called once, on the thread of the connection.
    std::function<void(const HttpStreamWriter&)> stream {};
    // Released once the complete response has been passed to the operating system, or writing it has failed. Lets a process that shuts down
    // wait for responses that it would otherwise truncate.
    std::shared_ptr<void> releasedWhenWritten {};
};

} // namespace Onyxnotch
