// Accepts client connections and runs one session for each. To shut down, the owner calls closeIdle() and stopListening(); requests that
// are being served run to their end, or until the owner calls endRequests().
#pragma once

#include "core/net/async_http_server.h"
#include "modules/forward/client_session.h"
#include <set>

namespace Onyxnotch {

class ForwardServer {
public:
    ForwardServer(ForwardContext&, const Address& listenAddress);

    // Errors: Unavailable where the address cannot be bound.
    Status start();
    Address address() const;
    std::size_t connections() const { return m_sessions.size(); }
    // Sessions that are reading or serving a request.
    std::size_t busy() const;
    // Closes the connections that have no request; a request that a client sends on one of them later is not accepted.
    void closeIdle();
    // Ends the requests that are still being served: their clients get the response that is possible without waiting any longer.
    void endRequests();
    void stopListening();

private:
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> waitForConfiguration();
    asio::awaitable<void> serve(asio::ip::tcp::socket);

    ForwardContext& m_context;
    Address m_address;
    asio::ip::tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<ClientSession>> m_sessions {};
};

} // namespace Onyxnotch
