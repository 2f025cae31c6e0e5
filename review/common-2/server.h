// Stand-in of a server. Counts what it runs, by the ids of the requests, and answers as the case decides.
#pragma once

#include "connection.h"
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace Review {

// Each run of a request, by the request's id.
using RunPlaces = std::multimap<std::string, std::string>;

// What a server does with one request.
struct Reply {
    std::string bytes {};
    bool isRun { true };
    Milliseconds work { 0 }; // Time before the answer.
    // After `bytes`, sends bytes that are no event for this time, at this rate, unless the connection ends before; then ends it.
    Milliseconds floodFor { 0 };
    std::size_t floodBytesPerSecond { 0 };
};

class Server {
public:
    // `number`: of the connection, from 1.
    using Handler = std::function<Reply(const Message& request, unsigned number)>;

    Server(std::string id, Handler handler)
        : m_id(std::move(id))
        , m_handler(std::move(handler))
    {
        m_listener = listenOn(m_address);
        std::thread([this] { accept(); }).detach();
    }

    const std::string& id() const { return m_id; }
    const Address& address() const { return m_address; }

    // How often it ran each request.
    std::map<std::string, unsigned> runs() const
    {
        std::lock_guard lock(m_mutex);
        return m_runs;
    }

    // Adds its runs to `places`.
    void addRuns(RunPlaces& places) const
    {
        for (const auto& [id, count] : runs()) {
            for (unsigned n = 0; n < count; ++n)
                places.emplace(id, m_id);
        }
    }

    std::size_t floodedBytes() const { return m_floodedBytes; }

    // When each request reached it.
    std::map<std::string, Clock::time_point> arrivals() const
    {
        std::lock_guard lock(m_mutex);
        return m_arrivals;
    }

    // The server ends: it takes no connection any more, and the open ones end.
    void end()
    {
        std::lock_guard lock(m_mutex);
        m_isEnded = true;
        ::shutdown(m_listener, SHUT_RDWR);
        for (int it : m_open)
            ::shutdown(it, SHUT_RDWR);
    }

    // The answer of a sound server that ran the request.
    static std::string answerTo(const Message& request, const std::string& body)
    {
        return "HTTP/1.1 200 OK\r\nAttempt-Id: " + request.value("attempt-id") + "\r\nServer-Stamp: stamp\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    static constexpr Milliseconds idleLimit { 60000 };

    void accept()
    {
        while (true) {
            int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            std::lock_guard lock(m_mutex);
            if (m_isEnded) {
                ::close(m_listener);
                return;
            }
            if (fd < 0)
                continue;
            m_open.insert(fd);
            auto number = ++m_connections;
            std::thread([this, fd, number] {
                serve(fd, number);
                std::lock_guard closing(m_mutex);
                m_open.erase(fd);
                ::close(fd);
            }).detach();
        }
    }

    void serve(int fd, unsigned number)
    {
        Connection connection(::dup(fd));
        while (auto request = connection.read(false, idleLimit)) {
            if (!request->isWhole)
                return;
            if (request->target() == "/healthz") {
                connection.send("HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            auto expected = request->value("expect-instance");
            if (!expected.empty() && expected != m_id) {
                connection.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + request->value("attempt-id") + "\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            Reply reply;
            {
                std::lock_guard lock(m_mutex);
                m_arrivals[request->value("attempt-id")] = Clock::now();
                reply = m_handler(*request, number);
                if (reply.isRun)
                    ++m_runs[request->value("attempt-id")];
            }
            std::this_thread::sleep_for(reply.work);
            if (!connection.send(reply.bytes))
                return;
            if (reply.floodFor.count() > 0) {
                flood(connection, reply);
                return;
            }
        }
    }

    void flood(Connection& connection, const Reply& reply)
    {
        constexpr std::size_t step = 65536;
        auto bytes = "10000\r\n" + std::string(step, 'x') + "\r\n";
        auto start = Clock::now();
        std::size_t sent = 0;
        while (Clock::now() - start < reply.floodFor && connection.send(bytes)) {
            sent += step;
            m_floodedBytes += step;
            std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(sent) / static_cast<double>(reply.floodBytesPerSecond))));
        }
    }

    std::string m_id;
    Handler m_handler;
    Address m_address {};
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs {};
    std::map<std::string, Clock::time_point> m_arrivals {};
    unsigned m_connections { 0 };
    int m_listener { -1 };
    std::set<int> m_open {};
    bool m_isEnded { false };
    std::atomic<std::size_t> m_floodedBytes { 0 };
};

} // namespace Review
