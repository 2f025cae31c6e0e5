// Many fake endpoints on one thread, for tests with a whole fleet of nodes. Each answers every request after a moment and reports its arrival.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_parser.h"
#include "core/steady_timer.h"
#include "tests/fakes/own_loopback.h"
#include <asio.hpp>
#include <functional>
#include <thread>

namespace Onyxnotch::Fakes {

struct EndpointPoolOptions {
    Milliseconds workTime { 20 }; // From a request's arrival to its response.
    // Called on the pool's thread with the index of the endpoint and the head of the request.
    std::function<void(std::size_t endpoint, const HttpHead&)> onRequest {};
};

class EndpointPool {
public:
    explicit EndpointPool(EndpointPoolOptions options)
        : m_options(std::move(options))
        , m_thread([this] { m_context.run(); })
    {
    }

    ~EndpointPool()
    {
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }

    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    // Starts an endpoint and returns its address. Its index is the number of endpoints that were started before it.
    Address add()
    {
        auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_context, asio::ip::tcp::endpoint(asio::ip::make_address(Tests::ownLoopback()), 0));
        Address address { .host = Tests::ownLoopback(), .port = acceptor->local_endpoint().port() };
        asio::co_spawn(m_context, acceptAll(acceptor, m_size++), asio::detached);
        return address;
    }

private:
    using Acceptor = std::shared_ptr<asio::ip::tcp::acceptor>;
    using Socket = asio::ip::tcp::socket;

    asio::awaitable<void> acceptAll(Acceptor acceptor, std::size_t endpoint)
    {
        while (true) {
            asio::error_code ec;
            auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
            asio::co_spawn(m_context, serve(std::move(socket), endpoint), asio::detached);
        }
    }

    asio::awaitable<void> serve(Socket socket, std::size_t endpoint)
    {
        std::string input;
        char buf[4096];
        SteadyTimer timer(m_context);
        while (true) {
            HttpParser parser(HttpMessageKind::Request, 65536);
            asio::error_code ec;
            while (parser.feed(input) != HttpParserState::Complete) {
                auto size = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
                if (ec)
                    co_return;
                input.append(buf, size);
            }
            m_options.onRequest(endpoint, parser.head());
            timer.expires_after(m_options.workTime);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
            auto bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(parser.head().value("attempt-id")) + "\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return;
        }
    }

    EndpointPoolOptions m_options;
    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { asio::make_work_guard(m_context) };
    std::size_t m_size { 0 };
    std::thread m_thread;
};

} // namespace Onyxnotch::Fakes
