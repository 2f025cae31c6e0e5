// A TCP connection for coroutines: reads and writes with deadlines, and notice of a peer that leaves. Belongs to one thread.
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

// Bytes that were sent and not acknowledged for this long end a connection, so that a peer that lost its power is noticed. Longer than a
// few retransmissions on a lossy link, shorter than any deadline of a caller.
constexpr Milliseconds acknowledgementTimeout { 3000 };

class AsyncConnection : public std::enable_shared_from_this<AsyncConnection> {
public:
    explicit AsyncConnection(asio::ip::tcp::socket);
    explicit AsyncConnection(asio::io_context&);

    // Notices a peer that went silent while nothing is being sent, within some three seconds.
    void probeWhenIdle();

    // Each returns asio::error::timed_out where the deadline passed first.
    asio::awaitable<asio::error_code> connect(const Address&, SteadyTime deadline);
    // Appends what arrives to input(). asio::error::eof where the peer closed its side.
    asio::awaitable<asio::error_code> read(SteadyTime deadline);
    asio::awaitable<asio::error_code> write(std::string_view, SteadyTime deadline);
    // Returns when a write would take bytes, or bytes have arrived, or the peer has closed.
    asio::awaitable<asio::error_code> waitWritableOrReadable(SteadyTime deadline);
    // As far as the socket takes it at once; returns the bytes taken. For bytes whose rest write() sends.
    std::size_t writeWithoutBlocking(std::string_view, asio::error_code&);

    // Bytes that have arrived and were not taken yet.
    std::string& input() { return m_input; }
    // True where neither bytes nor an end wait to be read: an idle connection that can be used again.
    bool isReusable();

    // Calls `left` once when the peer closes or resets. Bytes that arrive meanwhile go to input(), up to a limit; beyond that the
    // watch ends. No read may run until unwatch().
    void watch(std::function<void()> left);
    void unwatch();

    // Both may be called at any time; what runs ends with an error.
    void close();
    // Closes so that the peer sees a reset, not an end that could look complete.
    void reset();
    bool isOpen() const { return m_socket.is_open(); }
    // Bytes sent and received, for tests and metrics.

private:
    void setUp();
    void guard(SteadyTime deadline);
    void armTimer();
    void release() { m_guarded = false; }
    asio::error_code outcome(asio::error_code) const;
    std::size_t readNow(asio::error_code&);
    void waitForPeer();
    void onReadable();

    asio::ip::tcp::socket m_socket;
    SteadyTimer m_timer;
    SteadyTime m_deadline {};
    SteadyTime m_armedFor {};
    bool m_armed { false };
    bool m_guarded { false }; // An operation runs under m_deadline.
    bool m_timedOut { false };
    std::string m_input {};
    std::function<void()> m_left {};
    std::uint64_t m_watch { 0 }; // Raised by each unwatch(), so that a late notice is known to be late.
    bool m_watching { false };
    bool m_drained { false }; // The last read took all that had arrived by then.
};

} // namespace Onyxnotch
