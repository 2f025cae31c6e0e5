#include "modules/forward/forward_server.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds acceptPause { 50 }; // Where descriptors have run out.
    constexpr Milliseconds knownStep { 2 }; // Between two looks for a configuration at the start: a part of the store's answer time.

} // namespace

ForwardServer::ForwardServer(ForwardContext& context, const Address& listenAddress)
    : m_context(context)
    , m_address(listenAddress)
    , m_acceptor(context.context)
{
}

Status ForwardServer::start()
{
    auto acceptor = listenOn(m_context.context, m_address);
    if (!acceptor)
        return acceptor.error();
    m_acceptor = std::move(acceptor.value());
    asio::co_spawn(m_context.context, acceptAll(), asio::detached);
    return success();
}

Address ForwardServer::address() const
{
    asio::error_code ec;
    auto endpoint = m_acceptor.local_endpoint(ec);
    return { .host = endpoint.address().to_string(), .port = endpoint.port() };
}

// Callers' connections come up meanwhile, and wait to be accepted.
asio::awaitable<void> ForwardServer::waitUntilKnown()
{
    auto end = steadyNow() + m_context.options.startWait;
    while (steadyNow() < end && !(m_context.view.configuration() && m_context.view.endpoints())) {
        co_await sleepFor(m_context.context, knownStep);
    }
}

asio::awaitable<void> ForwardServer::acceptAll()
{
    co_await waitUntilKnown();
    while (m_acceptor.is_open()) {
        asio::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            break;
        if (ec) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", ec.message() } });
            co_await sleepFor(m_context.context, acceptPause);
            continue;
        }
        if (m_sessions.size() >= m_context.options.maximumCallers) {
            logEvent(LogLevel::Warning, "caller_refused", { { "connections", m_sessions.size() } });
            continue; // The socket closes here, before anything was read.
        }
        asio::co_spawn(m_context.context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> ForwardServer::serve(asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<CallerSession>(m_context, std::make_shared<AsyncConnection>(std::move(socket)));
    m_sessions.insert(session);
    co_await session->run();
    m_sessions.erase(session);
}

std::size_t ForwardServer::busy() const
{
    return static_cast<std::size_t>(std::count_if(m_sessions.begin(), m_sessions.end(), [](const auto& it) { return !it->isIdle(); }));
}

void ForwardServer::closeIdle()
{
    for (const auto& it : m_sessions)
        it->closeIfIdle();
}

void ForwardServer::stopListening()
{
    asio::error_code ec;
    m_acceptor.close(ec);
}

} // namespace Onyxnotch
