#include "core/net/peer_connection.h"

#include "core/steady_timer.h"
#include <array>
#include <asio.hpp>
#include <atomic>
#include <thread>
#include <vector>

namespace Onyxnotch {

namespace {

    using asio::ip::tcp;
    using asio::ip::udp;

    constexpr std::size_t maximumDatagramBytes = 65000;

    Frame errorFrame(std::string message)
    {
        return Frame { .type = MessageType::Error, .payload = std::move(message) };
    }

    // One request and response. Runs on its own io_context, so that each step can be limited by the deadline.
    class PeerCall {
    public:
        PeerCall(const Address& address, const Frame& frame, Milliseconds timeout)
            : m_address(address)
            , m_request(encodeFrame(frame))
            , m_deadline(steadyNow() + timeout)
        {
        }

        Result<Frame> run()
        {
            asio::error_code ec;
            auto host = asio::ip::make_address(m_address.host, ec);
            if (ec)
                return makeError(ErrorCode::Unavailable, ec.message());
            m_socket.async_connect(tcp::endpoint(host, m_address.port), [&](const asio::error_code& result) { finish(result); });
            if (!wait())
                return makeError(ErrorCode::Unavailable, m_result.message());
            m_socket.set_option(tcp::no_delay(true), ec);
            asio::async_write(m_socket, asio::buffer(m_request), [&](const asio::error_code& result, std::size_t) { finish(result); });
            if (!wait())
                return makeError(ErrorCode::Ambiguous, m_result.message());
            return readResponse();
        }

    private:
        Result<Frame> readResponse()
        {
            std::string header(frameHeaderBytes, '\0');
            if (!read(header))
                return makeError(ErrorCode::Ambiguous, m_result.message());
            auto decoded = decodeFrameHeader(header);
            if (!decoded)
                return makeError(ErrorCode::Ambiguous, decoded.error().message);
            std::string payload(decoded.value().payloadBytes, '\0');
            if (!read(payload))
                return makeError(ErrorCode::Ambiguous, m_result.message());
            auto frame = checkPayload(decoded.value(), std::move(payload));
            if (!frame)
                return makeError(ErrorCode::Ambiguous, frame.error().message);
            return frame;
        }

        bool read(std::string& buf)
        {
            asio::async_read(m_socket, asio::buffer(buf), [&](const asio::error_code& result, std::size_t) { finish(result); });
            return wait();
        }

        void finish(const asio::error_code& result)
        {
            m_result = result;
            m_finished = true;
        }

        bool wait()
        {
            m_finished = false;
            m_context.restart();
            while (!m_finished && steadyNow() < m_deadline)
                m_context.run_one_until(m_deadline);
            if (m_finished)
                return !m_result;
            asio::error_code ignored;
            m_socket.close(ignored);
            m_context.restart();
            m_context.run();
            m_result = asio::error::timed_out;
            return false;
        }

        Error makeError(ErrorCode code, const std::string& reason) const
        {
            return Error { code, m_address.text() + ": " + reason };
        }

        Address m_address;
        std::string m_request;
        SteadyTime m_deadline;
        asio::io_context m_context;
        tcp::socket m_socket { m_context };
        asio::error_code m_result;
        bool m_finished { false };
    };

    // Serves the request frames of one accepted connection sequentially.
    class PeerSession : public std::enable_shared_from_this<PeerSession> {
    public:
        PeerSession(tcp::socket socket, const PeerServer::Handler& handler, Milliseconds readTimeout, std::atomic<unsigned>& openConnections)
            : m_socket(std::move(socket))
            , m_timer(m_socket.get_executor())
            , m_handler(handler)
            , m_readTimeout(readTimeout)
            , m_openConnections(openConnections)
        {
            ++m_openConnections;
        }

        ~PeerSession() { --m_openConnections; }
        PeerSession(const PeerSession&) = delete;
        PeerSession& operator=(const PeerSession&) = delete;

        void readHeader()
        {
            m_timer.expires_after(m_readTimeout);
            m_timer.async_wait([weak = weak_from_this()](const asio::error_code& ec) {
                auto self = weak.lock();
                if (ec || !self)
                    return;
                asio::error_code ignored;
                self->m_socket.close(ignored);
            });
            m_header.assign(frameHeaderBytes, '\0');
            asio::async_read(m_socket, asio::buffer(m_header), [self = shared_from_this()](const asio::error_code& ec, std::size_t) {
                if (!ec)
                    self->readPayload();
                else
                    self->m_timer.cancel();
            });
        }

    private:
        void readPayload()
        {
            auto header = decodeFrameHeader(m_header);
            if (!header) {
                sendResponse(errorFrame(header.error().message), false);
                return;
            }
            m_payload.assign(header.value().payloadBytes, '\0');
            asio::async_read(m_socket, asio::buffer(m_payload), [self = shared_from_this(), decoded = header.value()](const asio::error_code& ec, std::size_t) {
                self->m_timer.cancel();
                if (!ec)
                    self->serve(decoded);
            });
        }

        void serve(const FrameHeader& header)
        {
            auto frame = checkPayload(header, std::move(m_payload));
            if (!frame) {
                sendResponse(errorFrame(frame.error().message), false);
                return;
            }
            sendResponse(m_handler(frame.value()), true);
        }

        void sendResponse(const Frame& frame, bool keepOpen)
        {
            m_timer.cancel();
            m_response = encodeFrame(frame);
            asio::async_write(m_socket, asio::buffer(m_response), [self = shared_from_this(), keepOpen](const asio::error_code& ec, std::size_t) {
                if (!ec && keepOpen)
                    self->readHeader();
            });
        }

        tcp::socket m_socket;
        SteadyTimer m_timer;
        const PeerServer::Handler& m_handler;
        Milliseconds m_readTimeout;
        std::atomic<unsigned>& m_openConnections;
        std::string m_header;
        std::string m_payload;
        std::string m_response;
    };

} // namespace

Result<Frame> callPeer(const Address& address, const Frame& frame, Milliseconds timeout)
{
    return PeerCall(address, frame, timeout).run();
}

struct PeerServer::Implementation {
    void accept()
    {
        acceptor.async_accept(asio::make_strand(context), [this](const asio::error_code& ec, tcp::socket socket) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec && openConnections < options.maximumConnections)
                std::make_shared<PeerSession>(std::move(socket), handler, options.readTimeout, openConnections)->readHeader();
            accept();
        });
    }

    PeerServerOptions options;
    Handler handler;
    std::atomic<unsigned> openConnections { 0 };
    asio::io_context context;
    tcp::acceptor acceptor { context };
    std::vector<std::thread> threads;
    Address boundAddress;
};

PeerServer::PeerServer(const PeerServerOptions& options, Handler handler)
    : m_implementation(std::make_shared<Implementation>())
{
    m_implementation->options = options;
    m_implementation->handler = std::move(handler);
}

PeerServer::~PeerServer() { stop(); }

Status PeerServer::start()
{
    auto& it = *m_implementation;
    asio::error_code ec;
    auto host = asio::ip::make_address(it.options.host, ec);
    if (!ec)
        it.acceptor.open(tcp::v4(), ec);
    if (!ec)
        it.acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        it.acceptor.bind(tcp::endpoint(host, it.options.port), ec);
    if (!ec)
        it.acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "cannot listen on " + it.options.host + ":" + std::to_string(it.options.port) + ": " + ec.message() };
    it.boundAddress = Address { .host = it.options.host, .port = it.acceptor.local_endpoint().port() };
    it.accept();
    for (unsigned n = 0; n < it.options.threads; ++n)
        it.threads.emplace_back([&it] { it.context.run(); });
    return success();
}

Address PeerServer::address() const { return m_implementation->boundAddress; }

void PeerServer::stop()
{
    m_implementation->context.stop();
    for (auto& thread : m_implementation->threads) {
        if (thread.joinable())
            thread.join();
    }
}

struct DatagramSocket::Implementation {
    void receive()
    {
        socket.async_receive_from(asio::buffer(buf), sender, [this](const asio::error_code& ec, std::size_t size) {
            if (ec == asio::error::operation_aborted)
                return;
            if (!ec)
                deliver(std::string_view(buf.data(), size));
            receive();
        });
    }

    void deliver(std::string_view bytes)
    {
        auto frame = decodeFrame(bytes);
        if (frame)
            receiver(frame.value());
    }

    std::string host;
    std::uint16_t port;
    Receiver receiver;
    asio::io_context context;
    udp::socket socket { context };
    udp::endpoint sender;
    std::array<char, maximumDatagramBytes> buf {};
    std::thread thread;
    Address boundAddress;
};

DatagramSocket::DatagramSocket(const std::string& host, std::uint16_t port, Receiver receiver)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->host = host;
    m_implementation->port = port;
    m_implementation->receiver = std::move(receiver);
}

DatagramSocket::~DatagramSocket() { stop(); }

Status DatagramSocket::start()
{
    auto& it = *m_implementation;
    asio::error_code ec;
    auto host = asio::ip::make_address(it.host, ec);
    if (!ec)
        it.socket.open(udp::v4(), ec);
    if (!ec)
        it.socket.bind(udp::endpoint(host, it.port), ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "cannot bind " + it.host + ":" + std::to_string(it.port) + ": " + ec.message() };
    it.boundAddress = Address { .host = it.host, .port = it.socket.local_endpoint().port() };
    it.receive();
    it.thread = std::thread([&it] { it.context.run(); });
    return success();
}

void DatagramSocket::send(const Address& address, const Frame& frame)
{
    asio::error_code ec;
    auto host = asio::ip::make_address(address.host, ec);
    if (ec)
        return;
    auto bytes = encodeFrame(frame);
    m_implementation->socket.send_to(asio::buffer(bytes), udp::endpoint(host, address.port), 0, ec);
}

Address DatagramSocket::address() const { return m_implementation->boundAddress; }

void DatagramSocket::stop()
{
    m_implementation->context.stop();
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

} // namespace Onyxnotch
