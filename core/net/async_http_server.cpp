#include "core/net/async_http_server.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace {

    constexpr int listenBacklog = 512; // All clients of an availability zone may connect to one node at the same time.
    constexpr std::size_t maximumHeadBytes = 8192;
    // Clients are a load balancer, a metrics collector, and the nodes of the availability zone, each of which keeps a connection to its
    // relay nodes. With a limit of 64, a node in a zone of 75 received a configuration more than 3 s late. A connection takes a few
    // kilobytes of memory.
    constexpr unsigned maximumConnections = 1024;
    constexpr Milliseconds idleTimeout { 15000 };
    constexpr Milliseconds writeTimeout { 3000 };

    std::string encode(const HttpResponse& response, bool keepAlive)
    {
        auto text = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reasonPhrase(response.status)) + "\r\n";
        for (const auto& [name, value] : response.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!keepAlive)
            text += "Connection: close\r\n";
        if (!response.body.empty())
            text += "Content-Type: " + response.contentType + "\r\n";
        return text + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    }

} // namespace

Result<asio::ip::tcp::acceptor> listenOn(asio::io_context& context, const Address& address)
{
    asio::error_code ec;
    asio::ip::tcp::acceptor acceptor(context);
    auto host = asio::ip::make_address(address.host, ec);
    asio::ip::tcp::endpoint endpoint(host, address.port);
    if (!ec)
        acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(listenBacklog, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "cannot listen on " + address.text() + ": " + ec.message() };
    return acceptor;
}

AsyncHttpServer::AsyncHttpServer(asio::io_context& context, const Address& address, Handler handler)
    : m_context(context)
    , m_address(address)
    , m_handler(std::move(handler))
    , m_acceptor(context)
{
}

Status AsyncHttpServer::start()
{
    auto acceptor = listenOn(m_context, m_address);
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(acceptor.value());
    asio::co_spawn(m_context, acceptAll(), asio::detached);
    return success();
}

Address AsyncHttpServer::address() const
{
    asio::error_code ec;
    auto endpoint = m_acceptor.local_endpoint(ec);
    return { .host = endpoint.address().to_string(), .port = endpoint.port() };
}

asio::awaitable<void> AsyncHttpServer::acceptAll()
{
    while (m_acceptor.is_open()) {
        asio::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            break;
        // A connection beyond the limit is closed when `socket` goes out of scope.
        if (ec || m_connections >= maximumConnections)
            continue;
        asio::co_spawn(m_context, serve(std::make_shared<AsyncConnection>(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> AsyncHttpServer::serve(std::shared_ptr<AsyncConnection> connection)
{
    ++m_connections;
    HttpParser parser(HttpMessageKind::Request, maximumHeadBytes);
    bool open = true;
    while (open) {
        parser.reset();
        auto idleDeadline = steadyNow() + idleTimeout;
        parser.feed(connection->input());
        while (open && (parser.state() == HttpParserState::Head || parser.state() == HttpParserState::Body)) {
            open = !co_await connection->read(idleDeadline);
            parser.feed(connection->input());
            parser.body().clear();
        }
        if (!open || parser.state() != HttpParserState::Complete)
            break;
        auto bytes = encode(m_handler(parser.head()), parser.head().keepAlive);
        auto ec = co_await connection->write(bytes, steadyNow() + writeTimeout);
        open = !ec && parser.head().keepAlive;
    }
    connection->close();
    --m_connections;
}

} // namespace Onyxnotch
