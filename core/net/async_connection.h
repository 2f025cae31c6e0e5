// TCP connection for coroutines: connect, read and write with deadlines, and detection of a peer that closes the connection. Not
// thread-safe: use each connection from one thread only.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/steady_timer.h"
#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Onyxnotch {

// A connection fails if sent data is not acknowledged for this long (TCP_USER_TIMEOUT), so that a peer that lost power is detected. Long
// enough for a few retransmissions on a lossy link, and shorter than any client deadline.
constexpr Milliseconds acknowledgementTimeout { 3000 };

class AsyncConnection : public std::enable_shared_from_this<AsyncConnection> {
public:
    explicit AsyncConnection(asio::ip::tcp::socket);
    explicit AsyncConnection(asio::io_context&);

    // Enables TCP keep-alive, which detects an unreachable peer on an idle connection within about 3 s.
    void probeWhenIdle();

    // Each of the following operations returns asio::error::timed_out if the deadline passes before it completes.
    asio::awaitable<asio::error_code> connect(const Address&, SteadyTime deadline);
    // Waits for data and appends it to input(). Returns asio::error::eof if the peer has closed its sending side. Other connections of the
    // thread are served between the reads even if the peer never stops sending, and the deadline holds then too.
    asio::awaitable<asio::error_code> read(SteadyTime deadline);
    asio::awaitable<asio::error_code> write(std::string_view, SteadyTime deadline);
    // Completes when the socket becomes writable or readable, or the peer has closed the connection.
    asio::awaitable<asio::error_code> waitWritableOrReadable(SteadyTime deadline);
    // Writes as much as the socket accepts without blocking and returns the number of bytes written. The caller sends the remainder with
    // write().
    std::size_t writeWithoutBlocking(std::string_view, asio::error_code&);

    // Received bytes. The caller removes the ones it has processed.
    std::string& input() { return m_input; }
    // True if the connection is open and has no unread data or end of stream, so that it can be reused for another request.
    bool isReusable();

    // Calls `onPeerClosed` once when the peer closes or resets the connection. Data received in the meantime is appended to input(); when
    // input() reaches a size limit, watching stops. read() must not be called before unwatch().
    void watch(std::function<void()> onPeerClosed);
    void unwatch();

    // close() and reset() may be called at any time; operations in progress complete with an error.
    void close();
    // Closes with a TCP reset, so that the peer cannot mistake it for a regular end of stream.
    void reset();
    bool isOpen() const { return m_socket.is_open(); }

private:
    void setUp();
    void beginOperation(SteadyTime deadline);
    void startTimer();
    void endOperation() { m_operationActive = false; }
    asio::error_code outcome(asio::error_code) const;
    std::size_t readNow(asio::error_code&);
    void waitForReadable();
    void onReadable();

    asio::ip::tcp::socket m_socket;
    SteadyTimer m_timer;
    SteadyTime m_deadline {};
    SteadyTime m_timerExpiry {};
    bool m_timerRunning { false };
    bool m_operationActive { false }; // An operation with deadline m_deadline is in progress.
    bool m_timedOut { false };
    std::string m_input {};
    std::function<void()> m_onPeerClosed {};
    std::uint64_t m_watchGeneration { 0 }; // Incremented by unwatch(), so that completion handlers of an earlier watch are ignored.
    bool m_watching { false };
    bool m_receiveBufferEmpty { false }; // The last read emptied the receive buffer of the socket.
    unsigned m_immediateReads { 0 }; // Since the last one that went through the event loop.
};

} // namespace Onyxnotch
