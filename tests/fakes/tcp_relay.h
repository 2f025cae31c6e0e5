// TCP relay between a node and a fake server, for tests that cut the node's connections.
#pragma once

#include "core/net/address.h"
#include "tests/fakes/own_loopback.h"
#include <array>
#include <asio.hpp>
#include <memory>
#include <set>
#include <thread>

namespace Onyxnotch::Fakes {

class TcpRelay {
public:
    explicit TcpRelay(const Address& target)
        : m_target(asio::ip::make_address(target.host), target.port)
        , m_acceptor(m_context, { asio::ip::make_address(Tests::ownLoopback()), 0 })
        , m_port(m_acceptor.local_endpoint().port())
    {
        accept();
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~TcpRelay()
    {
        m_context.stop();
        m_thread.join();
    }

    TcpRelay(const TcpRelay&) = delete;
    TcpRelay& operator=(const TcpRelay&) = delete;

    Address address() const { return { .host = Tests::ownLoopback(), .port = m_port }; }

    // Closes all open connections. New ones are accepted as before.
    void cutConnections()
    {
        asio::post(m_context, [this] {
            for (const auto& it : m_connections)
                it->close();
            m_connections.clear();
        });
    }

private:
    using tcp = asio::ip::tcp;

    struct Connection {
        explicit Connection(tcp::socket socket)
            : client(std::move(socket))
            , server(client.get_executor())
        {
        }

        void close()
        {
            asio::error_code ec;
            client.close(ec);
            server.close(ec);
        }

        tcp::socket client;
        tcp::socket server;
        std::array<char, 16384> toServer {};
        std::array<char, 16384> toClient {};
    };

    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& ec, tcp::socket socket) {
            if (ec)
                return;
            connect(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void connect(const std::shared_ptr<Connection>& connection)
    {
        connection->server.async_connect(m_target, [this, connection](const asio::error_code& ec) {
            if (ec)
                return connection->close();
            m_connections.insert(connection);
            relay(connection, connection->client, connection->server, connection->toServer);
            relay(connection, connection->server, connection->client, connection->toClient);
        });
    }

    void end(const std::shared_ptr<Connection>& connection)
    {
        connection->close();
        m_connections.erase(connection);
    }

    // A slow reader holds up its own connection only.
    void relay(const std::shared_ptr<Connection>& connection, tcp::socket& from, tcp::socket& to, std::array<char, 16384>& buf)
    {
        from.async_read_some(asio::buffer(buf), [this, connection, &from, &to, &buf](const asio::error_code& ec, std::size_t size) {
            if (ec)
                return end(connection);
            asio::async_write(to, asio::buffer(buf, size), [this, connection, &from, &to, &buf](const asio::error_code& writeError, std::size_t) {
                if (writeError)
                    return end(connection);
                relay(connection, from, to, buf);
            });
        });
    }

    asio::io_context m_context {};
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::uint16_t m_port;
    std::set<std::shared_ptr<Connection>> m_connections {};
    std::thread m_thread;
};

} // namespace Onyxnotch::Fakes
