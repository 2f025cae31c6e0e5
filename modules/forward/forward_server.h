// Listens for callers, and drains on a stop: takes what still comes, then lets the last requests end.
#pragma once

#include "core/net/async_http_server.h"
#include "modules/forward/caller_session.h"
#include <set>

namespace Onyxnotch {

class ForwardServer {
public:
    ForwardServer(ForwardContext&, const Address& listenAddress);

    // Errors: Unavailable where the address cannot be bound.
    Status start();
    Address address() const;
    std::size_t connections() const { return m_sessions.size(); }
    // Requests that are being served, or read.
    std::size_t busy() const;
    // Closes the connections without a request; requests that come after this are not taken.
    void closeIdle();
    void stopListening();

private:
    asio::awaitable<void> acceptAll();
    asio::awaitable<void> waitUntilKnown();
    asio::awaitable<void> serve(asio::ip::tcp::socket);

    ForwardContext& m_context;
    Address m_address;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<CallerSession>> m_sessions {};
};

} // namespace Onyxnotch
