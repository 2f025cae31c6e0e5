#include "modules/forward/caller_session.h"

#include "core/log.h"
#include "core/net/http_status.h"
#include "modules/forward/head_fields.h"

namespace Onyxnotch {

namespace {

    constexpr Milliseconds refusalWrite { 1000 }; // For the few bytes of a refusal.
    constexpr Milliseconds lingerTime { 500 }; // For a refused caller to read its answer before the connection closes.

} // namespace

CallerSession::CallerSession(ForwardContext& context, std::shared_ptr<AsyncConnection> connection)
    : m_context(context)
    , m_connection(std::move(connection))
    , m_held(context.heldBodies)
{
}

CallerLimits CallerSession::limits() const
{
    auto configuration = m_context.view.configuration();
    return configuration ? configuration->declaration().limits : CallerLimits {};
}

void CallerSession::closeIfIdle()
{
    if (m_idle)
        m_connection->close();
}

asio::awaitable<void> CallerSession::run()
{
    auto self = shared_from_this();
    while (m_keepAlive) {
        m_idle = true;
        auto end = co_await readRequest();
        if (end != ReadEnd::Complete)
            break;
        m_idle = false;
        m_keepAlive = m_request.head.keepAlive && !m_context.stopping;
        Exchange exchange(m_context, m_connection, m_request, !m_keepAlive);
        if (co_await exchange.run() == ExchangeEnd::Close)
            break;
        m_keepAlive = m_keepAlive && !m_context.stopping;
    }
    m_connection->close();
}

asio::awaitable<CallerSession::ReadEnd> CallerSession::readRequest()
{
    m_request = {};
    m_held.resize(0);
    auto bounds = limits();
    auto idleUntil = steadyNow() + bounds.idleTimeout;
    while (m_connection->input().empty()) {
        auto ec = co_await m_connection->read(idleUntil);
        if (ec)
            co_return ReadEnd::Closed;
    }
    m_idle = false;
    m_request.arrivedAt = steadyNow();
    HttpParser parser(HttpMessageKind::Request, bounds.maximumHeadBytes);
    auto end = co_await readHead(parser, bounds);
    if (end == ReadEnd::Complete)
        end = co_await readBody(parser, bounds);
    if (end != ReadEnd::Complete)
        co_return end;
    m_request.head = parser.head();
    m_request.body = std::move(parser.body());
    co_return ReadEnd::Complete;
}

asio::awaitable<CallerSession::ReadEnd> CallerSession::readHead(HttpParser& parser, const CallerLimits& bounds)
{
    auto until = m_request.arrivedAt + bounds.headTimeout;
    parser.feed(m_connection->input());
    while (parser.state() == HttpParserState::Head) {
        auto ec = co_await m_connection->read(until);
        if (ec == asio::error::timed_out)
            co_return co_await refuse(HttpStatus::requestTimeout, "head_too_slow");
        if (ec)
            co_return ReadEnd::Closed;
        parser.feed(m_connection->input());
    }
    if (parser.state() == HttpParserState::Malformed)
        co_return co_await refuse(HttpStatus::badRequest, "malformed");
    if (parser.state() == HttpParserState::HeadTooLarge)
        co_return co_await refuse(HttpStatus::headTooLarge, "head_too_large");
    co_return ReadEnd::Complete;
}

asio::awaitable<CallerSession::ReadEnd> CallerSession::readBody(HttpParser& parser, const CallerLimits& bounds)
{
    if (parser.head().contentLength.value_or(0) > bounds.maximumBodyBytes)
        co_return co_await refuse(HttpStatus::bodyTooLarge, "body_too_large");
    if (parser.state() == HttpParserState::Body && equalsIgnoringCase(parser.head().value("expect"), "100-continue"))
        co_await m_connection->write("HTTP/1.1 100 Continue\r\n\r\n", steadyNow() + bounds.headTimeout);
    while (parser.state() == HttpParserState::Body) {
        auto ec = co_await m_connection->read(steadyNow() + bounds.idleTimeout);
        if (ec == asio::error::timed_out)
            co_return co_await refuse(HttpStatus::requestTimeout, "body_too_slow");
        if (ec)
            co_return ReadEnd::Closed;
        parser.feed(m_connection->input());
        if (parser.body().size() > bounds.maximumBodyBytes)
            co_return co_await refuse(HttpStatus::bodyTooLarge, "body_too_large");
        if (!m_held.resize(parser.body().size())) {
            // Others need the room while this caller reads its refusal.
            parser.body() = std::string();
            m_held.resize(0);
            co_return co_await refuse(HttpStatus::serviceUnavailable, "no_memory");
        }
    }
    if (parser.state() != HttpParserState::Complete)
        co_return co_await refuse(HttpStatus::badRequest, "malformed_body");
    co_return ReadEnd::Complete;
}

asio::awaitable<CallerSession::ReadEnd> CallerSession::refuse(int status, std::string_view reason)
{
    logEvent(LogLevel::Info, "request_refused", { { "status", status }, { "reason", reason } });
    auto text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase(status)) + "\r\nConnection: close\r\nContent-Length: 0\r\n";
    if (status == HttpStatus::serviceUnavailable)
        text += "Retry-After: " + secondsText(m_context.options.comeBackAfter) + "\r\n";
    text += "\r\n";
    co_await m_connection->write(text, steadyNow() + refusalWrite);
    // Bytes that were not read would turn the close into a reset, and the caller might lose its answer.
    auto until = steadyNow() + lingerTime;
    while (!co_await m_connection->read(until))
        m_connection->input().clear();
    co_return ReadEnd::Refused;
}

} // namespace Onyxnotch
