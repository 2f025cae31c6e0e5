#include "modules/forward/forward_server.h"

#include "core/log.h"
#include "core/steady_timer.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds acceptRetryDelay { 50 }; // Delay after a failed accept, e.g. when file descriptors have run out.
    // Interval between checks for a configuration at startup; a fraction of the time the store takes to answer.
    constexpr Milliseconds configurationPollInterval { 2 };

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
    asio::co_spawn(m_context.context, acceptLoop(), asio::detached);
    return success();
}

Address ForwardServer::address() const
{
    asio::error_code ec;
    auto endpoint = m_acceptor.local_endpoint(ec);
    return { .host = endpoint.address().to_string(), .port = endpoint.port() };
}

// Waits up to `startupWait` for the first configuration and endpoint list. Client connections queue in the listen backlog meanwhile.
asio::awaitable<void> ForwardServer::waitForConfiguration()
{
    auto waitUntil = steadyNow() + m_context.options.startupWait;
    while (steadyNow() < waitUntil && !(m_context.view.configuration() && m_context.view.endpoints())) {
        co_await sleepFor(m_context.context, configurationPollInterval);
    }
}

asio::awaitable<void> ForwardServer::acceptLoop()
{
    co_await waitForConfiguration();
    while (m_acceptor.is_open()) {
        asio::error_code ec;
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            break;
        if (ec) {
            logEvent(LogLevel::Warning, "accept_failed", { { "error", ec.message() } });
            co_await sleepFor(m_context.context, acceptRetryDelay);
            continue;
        }
        if (m_sessions.size() >= m_context.options.maximumClients) {
            logEvent(LogLevel::Warning, "caller_refused", { { "connections", m_sessions.size() } });
            continue; // The socket's destructor closes the connection; nothing has been read from it.
        }
        asio::co_spawn(m_context.context, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> ForwardServer::serve(asio::ip::tcp::socket socket)
{
    auto session = std::make_shared<ClientSession>(m_context, std::make_shared<AsyncConnection>(std::move(socket)));
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

void ForwardServer::endRequests()
{
    for (const auto& it : m_sessions)
        it->endRequest();
}

void ForwardServer::stopListening()
{
    asio::error_code ec;
    m_acceptor.close(ec);
}

} // namespace Onyxnotch
