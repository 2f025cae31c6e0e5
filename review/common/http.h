// Blocking HTTP/1.1 over loopback TCP for stand-ins: a connection, a server with one thread for each connection, and a client.
#pragma once

#include "review/common/record.h"
#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace Review {

inline std::string lowerCase(std::string text)
{
    for (auto& it : text)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    return text;
}

// A request or a response, with its body decoded.
struct Message {
    std::string startLine {};
    std::map<std::string, std::string> fields {}; // Names in lower case.
    std::string body {};
    bool isWhole { false }; // False if the connection ended or the time ran out before the end of the message.

    std::string field(const std::string& name) const
    {
        auto it = fields.find(name);
        return it == fields.end() ? std::string() : it->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        auto first = startLine.find(' ');
        return first == std::string::npos ? std::string() : startLine.substr(first + 1, startLine.rfind(' ') - first - 1);
    }
    // Status of a response; 0 if the start line is not that of a response.
    int status() const { return startLine.rfind("HTTP/1.1 ", 0) == 0 ? std::atoi(startLine.c_str() + 9) : 0; }
};

// One TCP connection. Only one thread reads and only one writes at a time.
class Connection {
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { ::close(m_descriptor); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    static std::shared_ptr<Connection> open(const std::string& host, std::uint16_t port)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_shared<Connection>(descriptor);
    }

    bool write(const std::string& bytes)
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            auto size = ::send(m_descriptor, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            written += static_cast<std::size_t>(size);
        }
        return true;
    }

    // Reads more bytes into input(). Returns false at the end of the stream, on an error or when the time is over.
    bool receive(Milliseconds limit)
    {
        pollfd ready { .fd = m_descriptor, .events = POLLIN, .revents = 0 };
        if (::poll(&ready, 1, static_cast<int>(std::max<std::int64_t>(0, limit.count()))) <= 0)
            return false;
        char buf[16384];
        auto size = ::recv(m_descriptor, buf, sizeof(buf), 0);
        if (size <= 0) {
            m_hasEnded = true;
            return false;
        }
        m_input.append(buf, static_cast<std::size_t>(size));
        return true;
    }

    // Reads one message. Its body is delimited by a length, by chunks, or (responses only) by the end of the connection.
    Message read(Milliseconds limit)
    {
        auto deadline = Clock::now() + limit;
        auto left = [&] { return std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()); };
        Message message;
        std::size_t end = 0;
        while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(left()))
                return message;
        }
        parseHead(m_input.substr(0, end + 2), message);
        m_input.erase(0, end + 4);
        if (lowerCase(message.field("transfer-encoding")) == "chunked") {
            message.isWhole = readChunks(message.body, left);
            return message;
        }
        bool isResponse = message.status() != 0;
        bool hasLength = message.fields.contains("content-length");
        bool hasNoBody = message.status() == 204 || message.status() == 304;
        if (hasNoBody || (!hasLength && !isResponse)) {
            message.isWhole = true;
            return message;
        }
        auto length = hasLength ? std::stoul(message.field("content-length")) : std::string::npos;
        while (m_input.size() < length && receive(left())) { }
        message.body = m_input.substr(0, length);
        m_input.erase(0, message.body.size());
        message.isWhole = hasLength ? message.body.size() == length : m_hasEnded;
        return message;
    }

    void shutdown() { ::shutdown(m_descriptor, SHUT_RDWR); }
    // Received bytes that are not part of a message read so far.
    const std::string& input() const { return m_input; }

private:
    static void parseHead(const std::string& head, Message& message)
    {
        std::size_t begin = 0;
        while (begin < head.size()) {
            auto end = head.find("\r\n", begin);
            auto line = head.substr(begin, end - begin);
            begin = end + 2;
            if (message.startLine.empty()) {
                message.startLine = line;
                continue;
            }
            auto colon = line.find(':');
            auto value = line.find_first_not_of(' ', colon + 1);
            message.fields[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
        }
    }

    template <typename Left>
    bool readChunks(std::string& body, Left left)
    {
        while (true) {
            std::size_t end = 0;
            while ((end = m_input.find("\r\n")) == std::string::npos) {
                if (!receive(left()))
                    return false;
            }
            auto size = std::strtoul(m_input.c_str(), nullptr, 16);
            while (m_input.size() < end + 2 + size + 2) {
                if (!receive(left())) {
                    body += m_input.substr(end + 2, size);
                    return false;
                }
            }
            body += m_input.substr(end + 2, size);
            m_input.erase(0, end + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_descriptor;
    bool m_hasEnded { false };
    std::string m_input {};
};

struct Field {
    std::string name {};
    std::string value {};
};

// A message whose body, which may be empty, is delimited by its length.
inline std::string encodeMessage(const std::string& startLine, const std::vector<Field>& fields, const std::string& body = {})
{
    auto text = startLine + "\r\n";
    for (const auto& it : fields)
        text.append(it.name).append(": ").append(it.value).append("\r\n");
    text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return text + body;
}

inline std::string chunk(const std::string& bytes)
{
    char size[24];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

// Accepts connections on a free port of 127.0.0.1 and calls `serve` for each on a thread of its own.
class Server {
public:
    using Serve = std::function<void(Connection&)>;

    explicit Server(Serve serve)
        : m_serve(std::move(serve))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        bool isListening = ::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) == 0 && ::listen(m_listener, 128) == 0
            && ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        if (!isListening)
            throw std::runtime_error("cannot listen on 127.0.0.1");
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { acceptAll(); });
    }

    ~Server()
    {
        stop();
        m_thread.join();
        ::close(m_listener);
        for (auto& it : m_workers)
            it.join();
    }

    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    std::uint16_t port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    // Accepts no further connections and ends the open ones.
    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_isStopped = true;
        ::shutdown(m_listener, SHUT_RDWR);
        for (auto& it : m_connections)
            it->shutdown();
    }

private:
    void acceptAll()
    {
        while (true) {
            int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (m_isStopped || descriptor < 0) {
                if (descriptor >= 0)
                    ::close(descriptor);
                return;
            }
            auto connection = std::make_shared<Connection>(descriptor);
            m_connections.push_back(connection);
            m_workers.emplace_back([this, connection] {
                m_serve(*connection);
                connection->shutdown();
            });
        }
    }

    Serve m_serve;
    int m_listener { -1 };
    std::uint16_t m_port { 0 };
    std::mutex m_mutex;
    bool m_isStopped { false };
    std::vector<std::shared_ptr<Connection>> m_connections {};
    std::vector<std::thread> m_workers {};
    std::thread m_thread;
};

} // namespace Review
