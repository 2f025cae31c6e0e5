// Fake endpoint that responds with exactly the bytes given by a test, and records the received requests.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_parser.h"
#include "tests/fakes/own_loopback.h"
#include <asio.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <poll.h>
#include <thread>

namespace Onyxnotch::Fakes {

// Response to one request: the bytes to send, then what to do with the connection.
struct ScriptedResponse {
    enum class Ending {
        Keep,
        Close,
        Reset,
        Hang, // Send and read nothing until the peer closes the connection.
        Crash, // Stop the endpoint and close all its connections.
        Flood, // Send `flood` again and again for `floodTime`, or until the peer closes the connection; then close.
    };

    std::string bytes {};
    Ending ending { Ending::Keep };
    std::string flood {};
    Milliseconds floodTime { 0 };
    std::size_t floodBytesPerSecond { 0 }; // At most; 0: as fast as the peer reads.
    bool beforeBody { false }; // Respond after the head of the request, without reading its body.
};

struct ReceivedRequest {
    HttpHead head {};
    std::string body {};
    bool isWhole { true }; // False if only the head has arrived and the script is called just for `beforeBody`.
    unsigned connection { 0 }; // Number of the connection, in the order of acceptance.
    SteadyTime arrivedAt {}; // When the complete request had arrived.
};

class ScriptedEndpoint {
public:
    using Script = std::function<ScriptedResponse(const ReceivedRequest&)>;

    explicit ScriptedEndpoint(Script script)
        : m_script(std::move(script))
        , m_acceptor(m_context, { asio::ip::make_address(Tests::ownLoopback()), 0 })
        , m_thread([this] { acceptAll(); })
    {
    }

    ~ScriptedEndpoint()
    {
        stop();
        m_thread.join();
        for (auto& [number, worker] : m_workers)
            worker.join();
    }

    ScriptedEndpoint(const ScriptedEndpoint&) = delete;
    ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

    Address address() const { return { .host = Tests::ownLoopback(), .port = m_port }; }

    void setScript(Script script)
    {
        std::lock_guard lock(m_mutex);
        m_script = std::move(script);
    }

    std::vector<ReceivedRequest> requests() const
    {
        std::lock_guard lock(m_mutex);
        return m_requests;
    }

    // True after stop() or a crash.
    bool isStopped() const
    {
        std::lock_guard lock(m_mutex);
        return m_stopped;
    }

    // Number of hanging connections closed by the peer.
    unsigned closedByPeer() const
    {
        std::lock_guard lock(m_mutex);
        return m_closedByPeer;
    }

    void stop()
    {
        std::lock_guard lock(m_mutex);
        m_stopped = true;
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        for (auto& it : m_sockets)
            ::shutdown(it->native_handle(), SHUT_RDWR);
    }

private:
    using Socket = asio::ip::tcp::socket;

    void acceptAll()
    {
        while (true) {
            auto socket = std::make_shared<Socket>(m_context);
            asio::error_code ec;
            m_acceptor.accept(*socket, ec);
            std::lock_guard lock(m_mutex);
            if (ec || m_stopped)
                return;
            joinFinishedWorkers();
            m_sockets.push_back(socket);
            auto number = static_cast<unsigned>(m_sockets.size());
            m_workers.emplace(number, [this, socket, number] { serve(*socket, number); });
        }
    }

    // A finished thread keeps its stack until it is joined, and there may be tens of thousands of connections.
    void joinFinishedWorkers()
    {
        for (auto number : std::exchange(m_finishedWorkers, {})) {
            m_workers.at(number).join();
            m_workers.erase(number);
        }
    }

    void serve(Socket& socket, unsigned number)
    {
        std::string input;
        while (auto request = read(socket, input)) {
            request->connection = number;
            ScriptedResponse answer;
            {
                std::lock_guard lock(m_mutex);
                m_requests.push_back(*request);
                answer = m_script(*request);
            }
            asio::error_code ec;
            asio::write(socket, asio::buffer(answer.bytes), ec);
            if (ec || answer.ending == ScriptedResponse::Ending::Close)
                break;
            if (answer.ending == ScriptedResponse::Ending::Reset) {
                socket.set_option(asio::socket_base::linger(true, 0), ec);
                break;
            }
            if (answer.ending == ScriptedResponse::Ending::Hang) {
                waitForPeer(socket);
                break;
            }
            if (answer.ending == ScriptedResponse::Ending::Flood) {
                flood(socket, answer);
                break;
            }
            if (answer.ending == ScriptedResponse::Ending::Crash) {
                stop();
                break;
            }
        }
        std::lock_guard lock(m_mutex);
        asio::error_code ec;
        socket.close(ec);
        m_finishedWorkers.push_back(number);
    }

    static void flood(Socket& socket, const ScriptedResponse& response)
    {
        asio::error_code ec;
        auto start = steadyNow();
        std::size_t sent = 0;
        while (!ec && steadyNow() < start + response.floodTime) {
            sent += asio::write(socket, asio::buffer(response.flood), ec);
            if (response.floodBytesPerSecond > 0)
                std::this_thread::sleep_until(start + Milliseconds(sent * 1000 / response.floodBytesPerSecond));
        }
    }

    void waitForPeer(Socket& socket)
    {
        // Wait without reading, so that data sent by the peer stays in the socket buffers.
        pollfd pollEntry { .fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0 };
        ::poll(&pollEntry, 1, -1);
        std::lock_guard lock(m_mutex);
        ++m_closedByPeer;
    }

    std::optional<ReceivedRequest> read(Socket& socket, std::string& input)
    {
        HttpParser parser(HttpMessageKind::Request, 65536);
        char buf[16384];
        while (parser.feed(input) != HttpParserState::Complete) {
            if (parser.state() == HttpParserState::Body && answersBeforeBody(parser.head()))
                break;
            asio::error_code ec;
            auto size = socket.read_some(asio::buffer(buf), ec);
            if (ec)
                return std::nullopt;
            input.append(buf, size);
        }
        return ReceivedRequest { .head = parser.head(), .body = parser.body(), .arrivedAt = steadyNow() };
    }

    bool answersBeforeBody(const HttpHead& head)
    {
        std::lock_guard lock(m_mutex);
        return m_script({ .head = head, .isWhole = false }).beforeBody;
    }

    mutable std::mutex m_mutex;
    Script m_script;
    asio::io_context m_context {};
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port { m_acceptor.local_endpoint().port() };
    bool m_stopped { false };
    unsigned m_closedByPeer { 0 };
    std::vector<ReceivedRequest> m_requests {};
    std::vector<std::shared_ptr<Socket>> m_sockets {};
    std::map<unsigned, std::thread> m_workers {}; // By the number of their connection.
    std::vector<unsigned> m_finishedWorkers {};
    std::thread m_thread;
};

} // namespace Onyxnotch::Fakes
