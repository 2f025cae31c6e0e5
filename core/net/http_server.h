// An HTTP/1.1 server on cpp-httplib: one thread for each open connection, from a pool of a fixed size.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_message.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

struct HttpServerOptions {
    std::string host { "127.0.0.1" };
    std::uint16_t port { 0 }; // 0 takes any free port.
    unsigned threads { 64 }; // The greatest number of connections that are served at once.
    std::size_t maximumBodyBytes { 4U << 20U }; // A larger body is answered 413.
    Milliseconds readTimeout { 5000 }; // A request that takes longer to arrive is dropped.
    Milliseconds writeTimeout { 5000 };
};

class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    explicit HttpServer(const HttpServerOptions&);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // `pattern` is a regular expression over the whole path. Must be called before start().
    void route(const std::string& method, const std::string& pattern, Handler);
    // Binds and serves on threads of its own. Errors: Unavailable where the address cannot be bound.
    Status start();
    Address address() const;
    // Stops accepting, waits for the responses that are being written.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
