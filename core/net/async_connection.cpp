#include "core/net/async_connection.h"

#include <array>
#include <asio/experimental/as_tuple.hpp>
#include <asio/experimental/awaitable_operators.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Onyxnotch {

namespace {

    constexpr std::size_t readBufferBytes = 16384; // Most requests and responses fit into one read.
    // Input buffer capacity that a waiting connection may retain. Events and the heads of small responses fit.
    constexpr std::size_t maximumRetainedInputBytes = 1024;
    // Reads in a row that may be done without going through the event loop. A peer that sends faster than its data is processed must not
    // keep the thread from its other connections.
    constexpr unsigned maximumImmediateReads = 4;
    // Once a watched connection has this much unprocessed input, no more is read until the input is processed.
    constexpr std::size_t maximumReadAheadBytes = 65536;

} // namespace

AsyncConnection::AsyncConnection(asio::ip::tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
    setUp();
}

AsyncConnection::AsyncConnection(asio::io_context& context)
    : m_socket(context)
    , m_timer(context)
{
}

void AsyncConnection::setUp()
{
    asio::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    auto limit = static_cast<unsigned>(acknowledgementTimeout.count());
    ::setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    m_socket.non_blocking(true, ec);
}

void AsyncConnection::probeWhenIdle()
{
    constexpr int on = 1;
    constexpr int idleSeconds = 1;
    constexpr int probeIntervalSeconds = 1;
    constexpr int maximumLostProbes = 2;
    auto handle = m_socket.native_handle();
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &maximumLostProbes, sizeof(maximumLostProbes));
}

void AsyncConnection::beginOperation(SteadyTime deadline)
{
    m_deadline = deadline;
    m_operationActive = true;
    m_timedOut = false;
    // The timer is shared by successive operations: it is restarted only if it would fire too late for this deadline.
    if (!m_timerRunning || deadline < m_timerExpiry)
        startTimer();
}

void AsyncConnection::startTimer()
{
    m_timerRunning = true;
    m_timerExpiry = m_deadline;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
        auto self = weak.lock();
        if (ec || !self)
            return;
        self->m_timerRunning = false;
        if (!self->m_operationActive)
            return;
        if (steadyNow() < self->m_deadline) {
            self->startTimer();
            return;
        }
        self->m_timedOut = true;
        asio::error_code ignored;
        self->m_socket.cancel(ignored);
    });
}

asio::error_code AsyncConnection::outcome(asio::error_code ec) const
{
    return ec == asio::error::operation_aborted && m_timedOut ? asio::error_code(asio::error::timed_out) : ec;
}

asio::awaitable<asio::error_code> AsyncConnection::connect(const Address& address, SteadyTime deadline)
{
    auto self = shared_from_this();
    asio::error_code ec;
    auto host = asio::ip::make_address(address.host, ec);
    if (ec)
        co_return ec;
    m_socket.open(asio::ip::tcp::v4(), ec);
    if (ec)
        co_return ec;
    setUp();
    beginOperation(deadline);
    co_await m_socket.async_connect({ host, address.port }, asio::redirect_error(asio::use_awaitable, ec));
    endOperation();
    co_return outcome(ec);
}

// Reads available data without blocking; returns 0 if there is none. All connections of a thread share one buffer, since there are many
// connections and each uses it only briefly.
std::size_t AsyncConnection::readNow(asio::error_code& ec)
{
    thread_local std::array<char, readBufferBytes> buf;
    auto size = m_socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        ec = {};
    m_input.append(buf.data(), size);
    // A short read means that no more data is available; this saves a system call in the next read().
    m_receiveBufferEmpty = size < readBufferBytes;
    return size;
}

asio::awaitable<asio::error_code> AsyncConnection::read(SteadyTime deadline)
{
    auto self = shared_from_this();
    if (!m_socket.is_open())
        co_return asio::error::bad_descriptor;
    asio::error_code ec;
    bool isLate = steadyNow() >= deadline;
    // Data that has already arrived is read at once, also some after the deadline.
    if (m_immediateReads < maximumImmediateReads && (!m_receiveBufferEmpty || isLate)) {
        ++m_immediateReads;
        if (readNow(ec) > 0 || ec)
            co_return ec;
    }
    if (isLate)
        co_return asio::error::timed_out;
    m_immediateReads = 0;
    // Release large buffers before waiting, since there may be many idle connections.
    if (m_input.empty() && m_input.capacity() > maximumRetainedInputBytes)
        m_input = {};
    beginOperation(deadline);
    co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    endOperation();
    if (!ec)
        readNow(ec);
    co_return outcome(ec);
}

asio::awaitable<asio::error_code> AsyncConnection::write(std::string_view bytes, SteadyTime deadline)
{
    auto self = shared_from_this();
    asio::error_code ec;
    bytes.remove_prefix(writeWithoutBlocking(bytes, ec));
    if (ec || bytes.empty())
        co_return ec;
    beginOperation(deadline);
    co_await asio::async_write(m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    endOperation();
    co_return outcome(ec);
}

asio::awaitable<asio::error_code> AsyncConnection::waitWritableOrReadable(SteadyTime deadline)
{
    using asio::experimental::as_tuple;
    using namespace asio::experimental::awaitable_operators;
    auto self = shared_from_this();
    beginOperation(deadline);
    auto ready = co_await (m_socket.async_wait(asio::ip::tcp::socket::wait_write, as_tuple(asio::use_awaitable))
        || m_socket.async_wait(asio::ip::tcp::socket::wait_read, as_tuple(asio::use_awaitable)));
    endOperation();
    auto ec = ready.index() == 0 ? std::get<0>(std::get<0>(ready)) : std::get<0>(std::get<1>(ready));
    co_return outcome(ec);
}

std::size_t AsyncConnection::writeWithoutBlocking(std::string_view bytes, asio::error_code& ec)
{
    if (!m_socket.is_open()) {
        ec = asio::error::bad_descriptor;
        return 0;
    }
    auto size = m_socket.write_some(asio::buffer(bytes), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        ec = {};
    return size;
}

bool AsyncConnection::isReusable()
{
    char byte = 0;
    if (!m_socket.is_open() || !m_input.empty())
        return false;
    auto size = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void AsyncConnection::watch(std::function<void()> onPeerClosed)
{
    m_onPeerClosed = std::move(onPeerClosed);
    m_watching = true;
    waitForReadable();
}

void AsyncConnection::unwatch()
{
    ++m_watchGeneration;
    m_onPeerClosed = {};
    if (!m_watching)
        return;
    m_watching = false;
    asio::error_code ec;
    m_socket.cancel(ec);
}

void AsyncConnection::waitForReadable()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [weak = weak_from_this(), watch = m_watchGeneration](const asio::error_code& ec) {
        auto self = weak.lock();
        if (!self || watch != self->m_watchGeneration)
            return;
        if (ec) {
            self->m_watching = false;
            return;
        }
        self->onReadable();
    });
}

void AsyncConnection::onReadable()
{
    std::array<char, 4096> buf {};
    asio::error_code ec;
    auto size = m_socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again) {
        waitForReadable();
        return;
    }
    if (ec) {
        m_watching = false;
        auto onPeerClosed = std::move(m_onPeerClosed);
        m_onPeerClosed = {};
        if (onPeerClosed)
            onPeerClosed();
        return;
    }
    m_input.append(buf.data(), size);
    if (m_input.size() >= maximumReadAheadBytes) {
        m_watching = false;
        return;
    }
    waitForReadable();
}

void AsyncConnection::close()
{
    asio::error_code ec;
    m_timer.cancel();
    m_socket.close(ec);
}

void AsyncConnection::reset()
{
    asio::error_code ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
    close();
}

} // namespace Onyxnotch
