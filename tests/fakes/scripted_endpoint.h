// An endpoint that answers with exactly the bytes that a test says, and remembers what reached it.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include "core/net/http_parser.h"
#include "tests/fakes/own_loopback.h"
#include <asio.hpp>
#include <functional>
#include <mutex>
#include <poll.h>
#include <thread>

namespace Onyxnotch::Fakes {

// What an endpoint does with one request: pieces of bytes, then what becomes of the connection.
struct ScriptedResponse {
    enum class Ending {
        Keep,
        Close,
        Reset,
        Hang, // Nothing more is sent or read until the peer closes.
        Crash, // The whole endpoint is gone, all its connections with it.
    };

    std::string bytes {};
    Ending ending { Ending::Keep };
    bool beforeBody { false }; // Answers when the head is there, and reads no body.
};

struct ReceivedRequest {
    HttpHead head {};
    std::string body {};
    bool isWhole { true }; // False where the script is only asked whether it answers before the body is there.
    SteadyTime arrivedAt {}; // When it was whole.
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
        for (auto& it : m_workers)
            it.join();
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

    // Whether it serves nobody any more.
    bool isStopped() const
    {
        std::lock_guard lock(m_mutex);
        return m_stopped;
    }

    // Connections that their peer has closed.
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
            m_sockets.push_back(socket);
            m_workers.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(Socket& socket)
    {
        std::string input;
        while (auto request = read(socket, input)) {
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
            if (answer.ending == ScriptedResponse::Ending::Crash) {
                stop();
                break;
            }
        }
        std::lock_guard lock(m_mutex);
        asio::error_code ec;
        socket.close(ec);
    }

    void waitForPeer(Socket& socket)
    {
        // Without reading: what the peer sends stays where it is.
        pollfd waited { .fd = socket.native_handle(), .events = POLLRDHUP, .revents = 0 };
        ::poll(&waited, 1, -1);
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
    std::vector<std::thread> m_workers {};
    std::thread m_thread;
};

} // namespace Onyxnotch::Fakes
