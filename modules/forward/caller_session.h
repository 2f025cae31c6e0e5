// One connection of a caller: reads requests one after the other, within the declared limits, and has each one served.
#pragma once

#include "modules/forward/exchange.h"

namespace Onyxnotch {

class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
    CallerSession(ForwardContext&, std::shared_ptr<AsyncConnection>);

    // Ends when the connection does.
    asio::awaitable<void> run();
    // Closes it where no request is being served: the process is about to stop.
    void closeIfIdle();
    bool isIdle() const { return m_idle; }

private:
    // How reading a request ended, where it did not succeed.
    enum class ReadEnd {
        Complete,
        Closed, // By the caller, or idle for too long.
        Refused, // An answer was sent; the connection cannot go on.
    };

    asio::awaitable<ReadEnd> readRequest();
    asio::awaitable<ReadEnd> readHead(HttpParser&, const CallerLimits&);
    asio::awaitable<ReadEnd> readBody(HttpParser&, const CallerLimits&);
    asio::awaitable<ReadEnd> refuse(int status, std::string_view reason);
    CallerLimits limits() const;

    ForwardContext& m_context;
    std::shared_ptr<AsyncConnection> m_connection;
    CallerRequest m_request {};
    HeldBytes::Share m_held; // Of the request's body.
    bool m_keepAlive { true };
    bool m_idle { true };
};

} // namespace Onyxnotch
