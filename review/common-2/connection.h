// Blocking sockets on loopback addresses, and HTTP/1.1 messages on them, for the clients, servers and platform of the cases.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline long millisecondsSince(Clock::time_point start) { return std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count(); }

struct Address {
    std::string host { "127.0.0.1" };
    std::uint16_t port { 0 };

    std::string text() const { return host + ":" + std::to_string(port); }
};

// The case cannot run: exit code 2.
[[noreturn]] inline void abandon(const std::string& reason)
{
    std::cerr << "the case cannot run: " << reason << std::endl;
    std::_Exit(2);
}

inline sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

// Binds a socket to a free port of the host if `address.port` is 0. Returns the socket and sets the port.
inline int bindTo(Address& address, int type)
{
    int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    constexpr int on = 1;
    if (type == SOCK_STREAM)
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto bound = socketAddress(address);
    socklen_t size = sizeof(bound);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 || ::getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
        abandon("cannot bind " + address.text());
    address.port = ntohs(bound.sin_port);
    return fd;
}

inline int listenOn(Address& address)
{
    int fd = bindTo(address, SOCK_STREAM);
    if (::listen(fd, 512) != 0)
        abandon("cannot listen on " + address.text());
    return fd;
}

// A port of the host that was free just now.
inline std::uint16_t freePort(const std::string& host)
{
    Address address { .host = host };
    ::close(bindTo(address, SOCK_STREAM));
    return address.port;
}

struct Message {
    std::string start {}; // Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields {};
    std::string body {};
    bool isWhole { false };

    std::string value(const std::string& name) const
    {
        for (const auto& [field, text] : fields) {
            if (strcasecmp(field.c_str(), name.c_str()) == 0)
                return text;
        }
        return "";
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        auto begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
};

// One connection. Not copyable; closes its socket.
class Connection {
public:
    explicit Connection(int fd)
        : m_fd(fd)
    {
        constexpr int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::unique_ptr<Connection> open(const Address& address)
    {
        int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto peer = socketAddress(address);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) == 0)
            return std::make_unique<Connection>(fd);
        ::close(fd);
        return nullptr;
    }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            auto size = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Reads a message. Empty if the connection ends before its head is complete, or nothing arrives within `limit`. A body ends with its
    // length, its last chunk, or (responses without either) the connection.
    std::optional<Message> read(bool isResponse, Milliseconds limit)
    {
        auto until = Clock::now() + limit;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(until))
                return std::nullopt;
        }
        Message message;
        parseHead(message, m_input.substr(0, end + 2));
        m_input.erase(0, end + 4);
        auto length = message.value("content-length");
        bool isBodiless = isResponse && (message.status() == 204 || message.status() == 304);
        if (strcasecmp(message.value("transfer-encoding").c_str(), "chunked") == 0)
            message.isWhole = readChunks(message.body, until);
        else if (!length.empty())
            message.isWhole = readBytes(message.body, std::strtoul(length.c_str(), nullptr, 10), until);
        else if (isResponse && !isBodiless)
            message.isWhole = readToEnd(message.body, until);
        else
            message.isWhole = true;
        return message;
    }

private:
    bool receive(Clock::time_point until)
    {
        auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
        pollfd ready { .fd = m_fd, .events = POLLIN, .revents = 0 };
        if (left <= 0 || ::poll(&ready, 1, static_cast<int>(left)) <= 0)
            return false;
        char buf[16384];
        auto size = ::recv(m_fd, buf, sizeof(buf), 0);
        m_isEnded = size == 0;
        if (size <= 0)
            return false;
        m_input.append(buf, static_cast<std::size_t>(size));
        return true;
    }

    static void parseHead(Message& message, std::string head)
    {
        auto end = head.find("\r\n");
        message.start = head.substr(0, end);
        head.erase(0, end + 2);
        while (!head.empty()) {
            end = head.find("\r\n");
            auto line = head.substr(0, end);
            head.erase(0, end + 2);
            auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            auto begin = line.find_first_not_of(' ', colon + 1);
            message.fields.emplace_back(line.substr(0, colon), begin == std::string::npos ? "" : line.substr(begin));
        }
    }

    bool readBytes(std::string& body, std::size_t size, Clock::time_point until)
    {
        while (m_input.size() < size) {
            if (!receive(until))
                return false;
        }
        body += m_input.substr(0, size);
        m_input.erase(0, size);
        return true;
    }

    bool readChunks(std::string& body, Clock::time_point until)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                if (!receive(until))
                    return false;
            }
            auto size = std::strtoul(m_input.substr(0, end).c_str(), nullptr, 16);
            m_input.erase(0, end + 2);
            std::string lineEnd;
            if (!readBytes(body, size, until) || !readBytes(lineEnd, 2, until))
                return false;
            if (size == 0)
                return true;
        }
    }

    bool readToEnd(std::string& body, Clock::time_point until)
    {
        while (receive(until)) { }
        body += std::exchange(m_input, {});
        return m_isEnded;
    }

    int m_fd;
    std::string m_input {};
    bool m_isEnded { false };
};

} // namespace Review
