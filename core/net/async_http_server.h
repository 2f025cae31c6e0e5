// HTTP server for the small documents a process serves itself (readiness, metrics, queries of peers). Runs as coroutines on the given
// io_context; ignores request bodies.
#pragma once

#include "core/net/async_connection.h"
#include "core/net/http_message.h"
#include "core/net/http_parser.h"
#include "core/outcome.h"
#include <asio/ip/tcp.hpp>
#include <functional>

namespace Onyxnotch {

// Opens a listening socket. Errors: Unavailable.
Result<asio::ip::tcp::acceptor> listenOn(asio::io_context&, const Address&);

class AsyncHttpServer {
public:
    // Computes the response to a request. Must not block.
    using Handler = std::function<HttpResponse(const HttpHead&)>;

    AsyncHttpServer(asio::io_context&, const Address&, Handler);

    Status start();
    Address address() const;

private:
    asio::awaitable<void> acceptAll();
    asio::awaitable<void> serve(std::shared_ptr<AsyncConnection>);

    asio::io_context& m_context;
    Address m_address;
    Handler m_handler;
    asio::ip::tcp::acceptor m_acceptor;
    unsigned m_connections { 0 };
};

} // namespace Onyxnotch
