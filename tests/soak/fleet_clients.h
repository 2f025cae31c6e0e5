// Clients of all nodes of a fleet, on one thread: each sends one request after the other to its node, on a connection that it keeps.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_parser.h"
#include "core/steady_timer.h"
#include <asio.hpp>
#include <map>
#include <mutex>
#include <random>
#include <thread>

namespace Onyxnotch::Tests {

class FleetClients {
public:
    explicit FleetClients(std::uint64_t seed)
        : m_random(seed)
    {
    }

    ~FleetClients()
    {
        m_context.stop();
        m_thread.join();
    }

    FleetClients(const FleetClients&) = delete;
    FleetClients& operator=(const FleetClients&) = delete;

    // Starts `clients` clients of the node with this number, or tells them the node's new address.
    void setNode(unsigned node, const Address& address, unsigned clients)
    {
        std::lock_guard lock(m_mutex);
        bool isNew = !m_addresses.contains(node);
        m_addresses[node] = address;
        for (unsigned n = 0; isNew && n < clients; ++n)
            asio::co_spawn(m_context, run(node, n), asio::detached);
    }

private:
    using Socket = asio::ip::tcp::socket;

    static constexpr Milliseconds pause { 30 }; // Between a response and the client's next request.

    asio::ip::tcp::endpoint addressOf(unsigned node)
    {
        std::lock_guard lock(m_mutex);
        const auto& address = m_addresses.at(node);
        return { asio::ip::make_address(address.host), address.port };
    }

    // Requests differ in their prompt, so that they are spread over all endpoints.
    std::string makeRequest(const std::string& id)
    {
        return "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + id + "\r\nCredential: key-a\r\nPrefix-Hash: " + std::to_string(m_random() % 100000) + ":10\r\n\r\n";
    }

    asio::awaitable<void> run(unsigned node, unsigned client)
    {
        SteadyTimer timer(m_context);
        std::optional<Socket> socket;
        for (unsigned long n = 0;; ++n) {
            asio::error_code ec;
            if (!socket) {
                socket.emplace(m_context);
                co_await socket->async_connect(addressOf(node), asio::redirect_error(asio::use_awaitable, ec));
            }
            auto text = makeRequest(std::to_string(node) + "-" + std::to_string(client) + "-" + std::to_string(n));
            if (!ec)
                co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, ec));
            bool keepsConnection = !ec && co_await readResponse(*socket);
            if (!keepsConnection)
                socket.reset();
            timer.expires_after(pause);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }

    // Returns whether the connection can be used again.
    static asio::awaitable<bool> readResponse(Socket& socket)
    {
        HttpParser parser(HttpMessageKind::Response, 65536);
        std::string input;
        char buf[4096];
        while (parser.feed(input) != HttpParserState::Complete) {
            asio::error_code ec;
            auto size = co_await socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
            if (ec)
                co_return false;
            input.append(buf, size);
        }
        co_return parser.head().keepAlive;
    }

    std::mt19937_64 m_random;
    std::mutex m_mutex;
    std::map<unsigned, Address> m_addresses {}; // By node.
    asio::io_context m_context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> m_work { asio::make_work_guard(m_context) };
    std::thread m_thread { [this] { m_context.run(); } };
};

} // namespace Onyxnotch::Tests
