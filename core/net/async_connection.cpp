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

    constexpr std::size_t readBytes = 16384; // One read takes most requests and answers whole.
    constexpr std::size_t keptInputBytes = 1024; // Of a connection that waits: events and heads of small answers fit.
    constexpr std::size_t maximumWatchedBytes = 65536; // A caller that sends this much ahead is no longer read until its turn.

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
    constexpr int betweenSeconds = 1;
    constexpr int lostProbes = 2;
    auto handle = m_socket.native_handle();
    ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &idleSeconds, sizeof(idleSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &betweenSeconds, sizeof(betweenSeconds));
    ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &lostProbes, sizeof(lostProbes));
}

void AsyncConnection::guard(SteadyTime deadline)
{
    m_deadline = deadline;
    m_guarded = true;
    m_timedOut = false;
    // One timer serves many operations: it is armed anew only where it would fire too late.
    if (!m_armed || deadline < m_armedFor)
        armTimer();
}

void AsyncConnection::armTimer()
{
    m_armed = true;
    m_armedFor = m_deadline;
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
        auto self = weak.lock();
        if (ec || !self)
            return;
        self->m_armed = false;
        if (!self->m_guarded)
            return;
        if (steadyNow() < self->m_deadline) {
            self->armTimer();
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
    guard(deadline);
    co_await m_socket.async_connect({ host, address.port }, asio::redirect_error(asio::use_awaitable, ec));
    release();
    co_return outcome(ec);
}

// One buffer serves all connections of a thread: they are many, and each has bytes only for a moment. Empty where nothing has arrived.
std::size_t AsyncConnection::readNow(asio::error_code& ec)
{
    thread_local std::array<char, readBytes> buf;
    auto size = m_socket.read_some(asio::buffer(buf), ec);
    if (ec == asio::error::would_block || ec == asio::error::try_again)
        ec = {};
    m_input.append(buf.data(), size);
    // Fewer bytes than there was room for: nothing more is there, and asking again would be a system call for nothing.
    m_drained = size < readBytes;
    return size;
}

asio::awaitable<asio::error_code> AsyncConnection::read(SteadyTime deadline)
{
    auto self = shared_from_this();
    if (!m_socket.is_open())
        co_return asio::error::bad_descriptor;
    asio::error_code ec;
    // What has arrived already needs no turn of the loop.
    if (!m_drained && (readNow(ec) > 0 || ec))
        co_return ec;
    // No large buffer is held while the peer is awaited: idle connections are many.
    if (m_input.empty() && m_input.capacity() > keptInputBytes)
        m_input = {};
    guard(deadline);
    co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, ec));
    release();
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
    guard(deadline);
    co_await asio::async_write(m_socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
    release();
    co_return outcome(ec);
}

asio::awaitable<asio::error_code> AsyncConnection::waitWritableOrReadable(SteadyTime deadline)
{
    using asio::experimental::as_tuple;
    using namespace asio::experimental::awaitable_operators;
    auto self = shared_from_this();
    guard(deadline);
    auto first = co_await (m_socket.async_wait(asio::ip::tcp::socket::wait_write, as_tuple(asio::use_awaitable))
        || m_socket.async_wait(asio::ip::tcp::socket::wait_read, as_tuple(asio::use_awaitable)));
    release();
    auto ec = first.index() == 0 ? std::get<0>(std::get<0>(first)) : std::get<0>(std::get<1>(first));
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

void AsyncConnection::watch(std::function<void()> left)
{
    m_left = std::move(left);
    m_watching = true;
    waitForPeer();
}

void AsyncConnection::unwatch()
{
    ++m_watch;
    m_left = {};
    if (!m_watching)
        return;
    m_watching = false;
    asio::error_code ec;
    m_socket.cancel(ec);
}

void AsyncConnection::waitForPeer()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [weak = weak_from_this(), watch = m_watch](const asio::error_code& ec) {
        auto self = weak.lock();
        if (!self || watch != self->m_watch)
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
        waitForPeer();
        return;
    }
    if (ec) {
        m_watching = false;
        auto left = std::move(m_left);
        m_left = {};
        if (left)
            left();
        return;
    }
    m_input.append(buf.data(), size);
    if (m_input.size() >= maximumWatchedBytes) {
        m_watching = false;
        return;
    }
    waitForPeer();
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
