#include "modules/forward/client_session.h"

#include "core/log.h"
#include "core/net/http_status.h"
#include "modules/forward/head_fields.h"

namespace Onyxnotch {

namespace {

    constexpr Milliseconds refusalWriteTimeout { 1000 }; // Timeout for writing an error response, which has no body.
    constexpr Milliseconds unroutedBodyTimeout { 5000 }; // For the body of a request without a route, which is refused once it is complete.
    constexpr Milliseconds lingerTime { 500 }; // Time for a refused client to read the error response before the connection is closed.

} // namespace

ClientSession::ClientSession(ForwardContext& context, std::shared_ptr<AsyncConnection> connection)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_bodyReservation(context.bodyMemory)
{
}

ClientLimits ClientSession::limits() const
{
    auto configuration = m_context.view.configuration();
    return configuration ? configuration->declaration().limits : ClientLimits {};
}

void ClientSession::closeIfIdle()
{
    if (m_idle)
        m_connection->close();
}

void ClientSession::endRequest()
{
    if (m_exchange)
        m_exchange->endForStop();
    else
        m_connection->close();
}

asio::awaitable<void> ClientSession::run()
{
    auto self = shared_from_this();
    while (m_keepAlive) {
        m_idle = true;
        if (co_await readRequest() != ReadResult::Complete)
            break;
        m_idle = false;
        m_keepAlive = m_request.head.keepAlive && !m_context.isStopping();
        m_exchange = std::make_unique<Exchange>(m_context, m_connection, m_request, !m_keepAlive);
        auto result = co_await m_exchange->run();
        m_exchange.reset();
        if (result == ExchangeResult::Close)
            break;
        m_keepAlive = m_keepAlive && !m_context.isStopping();
    }
    m_connection->close();
}

asio::awaitable<ClientSession::ReadResult> ClientSession::readRequest()
{
    m_request = {};
    m_bodyReservation.resize(0);
    auto bounds = limits();
    auto idleUntil = steadyNow() + bounds.idleTimeout;
    while (m_connection->input().empty()) {
        auto ec = co_await m_connection->read(idleUntil);
        if (ec)
            co_return ReadResult::Closed;
    }
    m_idle = false;
    m_request.arrivedAt = steadyNow();
    HttpParser parser(HttpMessageKind::Request, bounds.maximumHeadBytes);
    auto result = co_await readHead(parser, bounds);
    if (result == ReadResult::Complete)
        result = co_await readBody(parser, bounds);
    if (result != ReadResult::Complete)
        co_return result;
    m_request.head = parser.head();
    m_request.body = std::move(parser.body());
    co_return ReadResult::Complete;
}

asio::awaitable<ClientSession::ReadResult> ClientSession::readHead(HttpParser& parser, const ClientLimits& bounds)
{
    auto until = m_request.arrivedAt + bounds.headTimeout;
    parser.feed(m_connection->input());
    while (parser.state() == HttpParserState::Head) {
        auto ec = co_await m_connection->read(until);
        if (ec == asio::error::timed_out)
            co_return co_await refuse(HttpStatus::requestTimeout, "head_too_slow");
        if (ec)
            co_return ReadResult::Closed;
        parser.feed(m_connection->input());
    }
    if (parser.state() == HttpParserState::Malformed)
        co_return co_await refuse(HttpStatus::badRequest, "malformed");
    if (parser.state() == HttpParserState::HeadTooLarge)
        co_return co_await refuse(HttpStatus::headTooLarge, "head_too_large");
    co_return ReadResult::Complete;
}

SteadyTime ClientSession::bodyDeadline(const HttpHead& head) const
{
    auto configuration = m_context.view.configuration();
    auto path = std::string_view(head.target).substr(0, head.target.find('?'));
    const auto* route = configuration ? configuration->findRoute(head.value("host"), path) : nullptr;
    return m_request.arrivedAt + requestTimeout(head.value(m_context.options.names.deadline), route ? route->timeout : unroutedBodyTimeout);
}

asio::awaitable<ClientSession::ReadResult> ClientSession::readBody(HttpParser& parser, const ClientLimits& bounds)
{
    if (parser.head().contentLength.value_or(0) > bounds.maximumBodyBytes)
        co_return co_await refuse(HttpStatus::bodyTooLarge, "body_too_large");
    if (parser.state() == HttpParserState::Body && equalsIgnoringCase(parser.head().value("expect"), "100-continue"))
        co_await m_connection->write("HTTP/1.1 100 Continue\r\n\r\n", steadyNow() + bounds.headTimeout);
    auto deadline = bodyDeadline(parser.head());
    while (parser.state() == HttpParserState::Body) {
        auto ec = co_await m_connection->read(std::min(deadline, steadyNow() + bounds.idleTimeout));
        if (ec == asio::error::timed_out)
            co_return co_await refuse(HttpStatus::requestTimeout, "body_too_slow");
        if (ec)
            co_return ReadResult::Closed;
        parser.feed(m_connection->input());
        if (parser.body().size() > bounds.maximumBodyBytes)
            co_return co_await refuse(HttpStatus::bodyTooLarge, "body_too_large");
        if (!m_bodyReservation.resize(parser.body().size())) {
            // Frees the memory for other sessions before waiting for this client to read the error response.
            parser.body() = std::string();
            m_bodyReservation.resize(0);
            co_return co_await refuse(HttpStatus::serviceUnavailable, "no_memory");
        }
    }
    if (parser.state() != HttpParserState::Complete)
        co_return co_await refuse(HttpStatus::badRequest, "malformed_body");
    co_return ReadResult::Complete;
}

asio::awaitable<ClientSession::ReadResult> ClientSession::refuse(int status, std::string_view reason)
{
    logEvent(LogLevel::Info, "request_refused", { { "status", status }, { "reason", reason } });
    auto response = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\nConnection: close\r\nContent-Length: 0\r\n";
    if (status == HttpStatus::serviceUnavailable)
        response += "Retry-After: " + formatSeconds(m_context.options.retryAfter) + "\r\n";
    response += "\r\n";
    co_await m_connection->write(response, steadyNow() + refusalWriteTimeout);
    // Closing a socket with unread input sends a reset, and the client might lose the response; so the input is read and discarded.
    auto until = steadyNow() + lingerTime;
    while (!co_await m_connection->read(until))
        m_connection->input().clear();
    co_return ReadResult::Refused;
}

} // namespace Onyxnotch
