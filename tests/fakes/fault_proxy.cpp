// Fault-injecting proxy for TCP and UDP. The faults of each forwarded port can be changed while it is in use.
#include "core/steady_timer.h"
#include "tests/fakes/fake_program.h"
#include <array>
#include <asio.hpp>
#include <map>
#include <mutex>
#include <thread>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;
using asio::ip::tcp;
using asio::ip::udp;

constexpr auto usage = R"(Usage: onyxnotch-fake-fault-proxy [--port PORT]

Options:
  --port PORT  Port for control [default: 0].
)";

// Faults of one forwarded port. "Up" is from client to target, "down" is from target to client.
struct Fault {
    bool refuse { false }; // New connections are closed immediately.
    bool dropUp { false }; // Data sent to the target is dropped.
    bool dropDown { false }; // Data sent to the client is dropped.
    long cutUpAfter { -1 }; // Resets the connection after this many bytes to the target; 0: before the first byte, -1: never.
    long cutDownAfter { -1 }; // Likewise, for bytes to the client.
    long delay { 0 }; // Delay of each chunk of data, in milliseconds.
};

using SharedFault = std::shared_ptr<std::atomic<std::shared_ptr<const Fault>>>;

// One proxied TCP connection, in both directions.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection> {
public:
    ProxiedConnection(tcp::socket client, tcp::endpoint target, SharedFault fault)
        : m_client(std::move(client))
        , m_server(m_client.get_executor())
        , m_target(std::move(target))
        , m_fault(std::move(fault))
    {
    }

    void start()
    {
        m_server.async_connect(m_target, [self = shared_from_this()](const asio::error_code& ec) {
            if (ec) {
                self->reset();
                return;
            }
            self->pump(self->m_client, self->m_server, self->m_up, true);
            self->pump(self->m_server, self->m_client, self->m_down, false);
        });
    }

private:
    struct Direction {
        std::array<char, 16384> buf;
        long forwardedBytes { 0 };
        std::unique_ptr<SteadyTimer> timer;
    };

    void pump(tcp::socket& from, tcp::socket& to, Direction& direction, bool up)
    {
        from.async_read_some(asio::buffer(direction.buf), [self = shared_from_this(), &from, &to, &direction, up](const asio::error_code& ec, std::size_t size) {
            if (ec) {
                asio::error_code ignored;
                to.shutdown(tcp::socket::shutdown_send, ignored);
                if (ec != asio::error::eof)
                    self->reset();
                return;
            }
            self->forwardChunk(from, to, direction, up, size);
        });
    }

    void forwardChunk(tcp::socket& from, tcp::socket& to, Direction& direction, bool up, std::size_t size)
    {
        auto fault = m_fault->load();
        auto limit = up ? fault->cutUpAfter : fault->cutDownAfter;
        bool cut = limit >= 0 && direction.forwardedBytes + static_cast<long>(size) >= limit;
        if (cut)
            size = static_cast<std::size_t>(std::max(0L, limit - direction.forwardedBytes));
        if (up ? fault->dropUp : fault->dropDown) {
            pump(from, to, direction, up);
            return;
        }
        direction.forwardedBytes += static_cast<long>(size);
        auto forward = [self = shared_from_this(), &from, &to, &direction, up, size, cut] {
            asio::async_write(to, asio::buffer(direction.buf, size), [self, &from, &to, &direction, up, cut](const asio::error_code& ec, std::size_t) {
                if (ec || cut)
                    self->reset();
                else
                    self->pump(from, to, direction, up);
            });
        };
        if (fault->delay == 0) {
            forward();
            return;
        }
        direction.timer = std::make_unique<SteadyTimer>(m_client.get_executor(), Milliseconds(fault->delay));
        direction.timer->async_wait([forward](const asio::error_code&) { forward(); });
    }

    void reset()
    {
        asio::error_code ignored;
        for (auto* it : { &m_client, &m_server }) {
            it->set_option(asio::socket_base::linger(true, 0), ignored);
            it->close(ignored);
        }
    }

    tcp::socket m_client;
    tcp::socket m_server;
    tcp::endpoint m_target;
    SharedFault m_fault;
    Direction m_up;
    Direction m_down;
};

class Forwarder {
public:
    virtual ~Forwarder() = default;
    Forwarder()
        : fault(std::make_shared<std::atomic<std::shared_ptr<const Fault>>>(std::make_shared<Fault>()))
    {
    }
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;
    virtual std::uint16_t port() const = 0;
    virtual void setTarget(const Address&) = 0;

    SharedFault fault;
};

class TcpForwarder : public Forwarder {
public:
    explicit TcpForwarder(asio::io_context& context)
        : m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    std::uint16_t port() const override { return m_acceptor.local_endpoint().port(); }
    void setTarget(const Address& target) override { m_target = tcp::endpoint(asio::ip::make_address(target.host), target.port); }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code& ec, tcp::socket socket) {
            auto current = fault->load();
            if (!ec && !current->refuse && m_target.port() != 0)
                std::make_shared<ProxiedConnection>(std::move(socket), m_target, fault)->start();
            if (ec != asio::error::operation_aborted)
                accept();
        });
    }

    tcp::acceptor m_acceptor;
    tcp::endpoint m_target;
};

class UdpForwarder : public Forwarder {
public:
    explicit UdpForwarder(asio::io_context& context)
        : m_socket(context, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        receive();
    }

    std::uint16_t port() const override { return m_socket.local_endpoint().port(); }
    void setTarget(const Address& target) override { m_target = udp::endpoint(asio::ip::make_address(target.host), target.port); }

private:
    // Nodes reply to the address given in the message, so only datagrams to the target pass through the proxy.
    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buf), m_sender, [this](const asio::error_code& ec, std::size_t size) {
            asio::error_code ignored;
            if (!ec && !fault->load()->dropUp && m_target.port() != 0)
                m_socket.send_to(asio::buffer(m_buf, size), m_target, 0, ignored);
            if (ec != asio::error::operation_aborted)
                receive();
        });
    }

    udp::socket m_socket;
    udp::endpoint m_target;
    udp::endpoint m_sender;
    std::array<char, 65536> m_buf {};
};

class FaultProxy {
public:
    FaultProxy()
        : m_guard(asio::make_work_guard(m_context))
        , m_thread([this] { m_context.run(); })
    {
        m_thread.detach();
    }

    void addRoutes(HttpServer& server)
    {
        // {"kind":"tcp|udp"}: adds a forwarded port. Response: {"id","address"}.
        server.route("POST", "/forwards", [this](const HttpRequest& it) { return add(jsonBody(it)); });
        // {"target":"HOST:PORT"} and members of Fault in snake_case: changes a forwarded port.
        server.route("POST", "/forwards/([0-9]+)", [this](const HttpRequest& it) { return change(std::stoul(it.captures[0]), jsonBody(it)); });
    }

private:
    HttpResponse add(const Json& body)
    {
        std::lock_guard lock(m_mutex);
        std::unique_ptr<Forwarder> forwarder;
        if (body.value("kind", "tcp") == "udp")
            forwarder = std::make_unique<UdpForwarder>(m_context);
        else
            forwarder = std::make_unique<TcpForwarder>(m_context);
        auto port = forwarder->port();
        m_forwarders.push_back(std::move(forwarder));
        return reply(200, { { "id", m_forwarders.size() - 1 }, { "address", "127.0.0.1:" + std::to_string(port) } });
    }

    HttpResponse change(std::size_t id, const Json& body)
    {
        std::lock_guard lock(m_mutex);
        auto& forwarder = *m_forwarders.at(id);
        auto target = parseAddress(body.value("target", ""));
        if (target)
            forwarder.setTarget(target.value());
        auto fault = std::make_shared<Fault>();
        fault->refuse = body.value("refuse", false);
        fault->dropUp = body.value("drop_up", false);
        fault->dropDown = body.value("drop_down", false);
        fault->cutUpAfter = body.value("cut_up_after", -1L);
        fault->cutDownAfter = body.value("cut_down_after", -1L);
        fault->delay = body.value("delay_ms", 0L);
        forwarder.fault->store(fault);
        return reply(200, body);
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<Forwarder>> m_forwarders;
};

} // namespace

int main(int argc, char** argv)
{
    CommandLine arguments(usage, argc, argv);
    StopSignal signal;
    HttpServer server({ .port = static_cast<std::uint16_t>(std::stoi(arguments.text("--port"))), .threads = 32 });
    FaultProxy proxy;
    proxy.addRoutes(server);
    return serve(server, signal);
}
