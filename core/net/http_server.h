// HTTP/1.1 server based on cpp-httplib. Each open connection occupies one thread of a fixed-size pool.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_message.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

struct HttpServerOptions {
    std::string host { "127.0.0.1" };
    std::uint16_t port { 0 }; // 0 selects any free port.
    unsigned threads { 64 }; // Maximum number of connections served concurrently.
    // Requests with a larger body are answered with status 413. If it is several times as large, or takes longer than `bodyTimeout`, the
    // connection is closed with that.
    std::size_t maximumBodyBytes { 4U << 20U };
    Milliseconds bodyTimeout { 20000 };
    Milliseconds readTimeout { 5000 }; // A connection on which no data arrives for this long during a request is closed.
    Milliseconds writeTimeout { 5000 };
};

class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    explicit HttpServer(const HttpServerOptions&);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    // Registers a handler. `pattern` is a regular expression that must match the complete path. Call before start().
    void route(const std::string& method, const std::string& pattern, Handler);
    // Binds the address and starts serving in background threads. Errors: Unavailable if the address cannot be bound.
    Status start();
    Address address() const;
    // Stops accepting connections and waits until the responses in progress have been written.
    void stop();

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
