// One client connection: reads requests one after the other, within the configured size and time limits, and runs an Exchange for each.
#pragma once

#include "modules/forward/exchange.h"

namespace Onyxnotch {

class ClientSession : public std::enable_shared_from_this<ClientSession> {
public:
    ClientSession(ForwardContext&, std::shared_ptr<AsyncConnection>);

    // Serves requests until the connection closes.
    asio::awaitable<void> run();
    // Closes the connection if no request is being read or served; used at shutdown.
    void closeIfIdle();
    // Ends the request that is being served, with the response that is still possible, or closes the connection if there is none; used at
    // the end of a shutdown.
    void endRequest();
    bool isIdle() const { return m_idle; }

private:
    // The result of reading a request, or one part of it.
    enum class ReadResult {
        Complete,
        Closed, // The client closed the connection, or it was idle for too long.
        Refused, // An error response was sent; the connection has to be closed.
    };

    asio::awaitable<ReadResult> readRequest();
    asio::awaitable<ReadResult> readHead(HttpParser&, const ClientLimits&);
    asio::awaitable<ReadResult> readBody(HttpParser&, const ClientLimits&);
    // Sends an error response without a body and waits briefly for the client to read it.
    asio::awaitable<ReadResult> refuse(int status, std::string_view reason);
    ClientLimits limits() const;
    // Until when the body of a request with this head is read: its deadline or the timeout of its route.
    SteadyTime bodyDeadline(const HttpHead&) const;

    ForwardContext& m_context;
    std::shared_ptr<AsyncConnection> m_connection;
    ClientRequest m_request {};
    std::unique_ptr<Exchange> m_exchange {}; // Serves the request; nullptr between requests.
    BodyMemoryBudget::Reservation m_bodyReservation; // Memory reserved for the request's body.
    bool m_keepAlive { true };
    bool m_idle { true };
};

} // namespace Onyxnotch
