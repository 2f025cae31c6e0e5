// Fake endpoint that responds to each request with a stream of server-sent events, one per `period`, until the client disconnects. Serves
// all connections on one thread.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_parser.h"
#include "core/steady_timer.h"
#include <asio.hpp>
#include <thread>

namespace Onyxnotch::Fakes {

class StreamingEndpoint {
public:
    explicit StreamingEndpoint(Milliseconds period)
        : m_period(period)
        , m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_address { .host = "127.0.0.1", .port = m_acceptor.local_endpoint().port() }
        , m_thread([this] {
            asio::co_spawn(m_context, acceptAll(), asio::detached);
            m_context.run();
        })
    {
    }

    ~StreamingEndpoint()
    {
        m_context.stop();
        m_thread.join();
    }

    StreamingEndpoint(const StreamingEndpoint&) = delete;
    StreamingEndpoint& operator=(const StreamingEndpoint&) = delete;

    Address address() const { return m_address; }

private:
    using Socket = asio::ip::tcp::socket;

    asio::awaitable<void> acceptAll()
    {
        while (true) {
            asio::error_code ec;
            auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
        }
    }

    static std::string head(const HttpParser& request)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(request.head().value("attempt-id"))
            + "\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static std::string event(unsigned long id)
    {
        auto text = "id: " + std::to_string(id) + "\ndata: token\n\n";
        char size[24];
        std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
        return size + text + "\r\n";
    }

    asio::awaitable<void> serve(Socket socket)
    {
        std::string input;
        HttpParser parser(HttpMessageKind::Request, 65536);
        char buf[4096];
        asio::error_code ec;
        while (parser.feed(input) != HttpParserState::Complete) {
            auto size = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            input.append(buf, size);
        }
        auto bytes = head(parser);
        SteadyTimer timer(m_context, steadyNow());
        for (unsigned long id = 1; !ec; ++id) {
            bytes += event(id);
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
            bytes.clear();
            timer.expires_at(timer.expiry() + m_period);
            asio::error_code cancelled;
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
        }
    }

    Milliseconds m_period;
    asio::io_context m_context { 1 };
    asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::thread m_thread;
};

} // namespace Onyxnotch::Fakes
