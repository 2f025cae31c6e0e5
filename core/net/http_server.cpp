#include "core/net/http_server.h"

#include "core/net/http_status.h"
#include "core/text.h"
// Connections that wait to be accepted. The library's default of 5 loses connections when a fleet connects at once, each for a second.
#define CPPHTTPLIB_LISTEN_BACKLOG 1024
#include <httplib.h>
#include <thread>

namespace Onyxnotch {

namespace {

    // Idle persistent connections occupy a thread each, so they are closed quickly.
    constexpr time_t keepAliveSeconds = 2;
    constexpr std::size_t requestsPerConnection = 100000;
    constexpr int listenBacklog = 1024;

    // HttpResponse::releasedWhenWritten of the response that this thread is writing. The library uses one thread per connection.
    thread_local std::shared_ptr<void> resourceUntilWritten;

    // A body of up to this many times the size limit is read and discarded, so that a sender that reads nothing before gets the refusal.
    constexpr std::size_t maximumDiscardFactor = 4;

    enum class BodyResult {
        Complete,
        Refused, // Too large, but read to its end.
        Endless, // Not read to its end: the connection has to be closed.
    };

    // Reads the body of a request into `body`. The library alone would keep a chunked body of any size.
    BodyResult readBody(const httplib::ContentReader& read, const HttpServerOptions& options, std::string& body)
    {
        std::size_t size = 0;
        auto deadline = steadyNow() + options.bodyTimeout;
        bool isComplete = read([&](const char* data, std::size_t n) {
            size += n;
            if (size <= options.maximumBodyBytes)
                body.append(data, n);
            return size <= maximumDiscardFactor * options.maximumBodyBytes && steadyNow() < deadline;
        });
        if (!isComplete)
            return BodyResult::Endless;
        return size <= options.maximumBodyBytes ? BodyResult::Complete : BodyResult::Refused;
    }

    // The library closes a connection only if it cannot write a response, so this response fails after its last byte.
    void refuseAndClose(httplib::Response& response)
    {
        static constexpr std::string_view text = "body too large\n";
        response.status = HttpStatus::bodyTooLarge;
        response.set_content_provider(text.size(), "text/plain", [](std::size_t, std::size_t, httplib::DataSink& sink) {
            sink.write(text.data(), text.size());
            return false;
        });
    }

    HttpRequest fromLibrary(const httplib::Request& source)
    {
        HttpRequest request { .method = source.method, .path = source.path, .query = {}, .headers = {}, .body = source.body, .captures = {} };
        for (const auto& [name, value] : source.params)
            request.query.emplace(name, value);
        for (const auto& [name, value] : source.headers)
            request.headers.emplace(lowerCase(name), value);
        for (std::size_t n = 1; n < source.matches.size(); ++n)
            request.captures.push_back(source.matches[n].str());
        return request;
    }

    void toLibrary(HttpResponse response, httplib::Response& target)
    {
        resourceUntilWritten = std::move(response.releasedWhenWritten);
        target.status = response.status;
        for (const auto& [name, value] : response.headers)
            target.set_header(name, value);
        if (!response.stream) {
            target.set_content(response.body, response.contentType);
            return;
        }
        auto provider = [stream = std::move(response.stream)](std::size_t, httplib::DataSink& sink) {
            stream([&sink](std::string_view part) { return sink.write(part.data(), part.size()); });
            sink.done();
            return true;
        };
        target.set_chunked_content_provider(response.contentType, provider);
    }

} // namespace

struct HttpServer::Implementation {
    HttpServerOptions options;
    httplib::Server server;
    socket_t socket { INVALID_SOCKET };
    std::thread acceptThread;
    Address boundAddress;
};

HttpServer::HttpServer(const HttpServerOptions& options)
    : m_implementation(std::make_unique<Implementation>())
{
    m_implementation->options = options;
    auto& server = m_implementation->server;
    server.new_task_queue = [n = options.threads] { return new httplib::ThreadPool(n); };
    server.set_keep_alive_max_count(requestsPerConnection);
    server.set_keep_alive_timeout(keepAliveSeconds);
    server.set_tcp_nodelay(true);
    server.set_read_timeout(options.readTimeout);
    server.set_write_timeout(options.writeTimeout);
    server.set_payload_max_length(options.maximumBodyBytes);
    // The library would read and discard a body of any declared length that is too large before it responds.
    server.set_pre_routing_handler([limit = maximumDiscardFactor * options.maximumBodyBytes](const httplib::Request& request, httplib::Response& response) {
        if (request.get_header_value<std::uint64_t>("Content-Length") <= limit)
            return httplib::Server::HandlerResponse::Unhandled;
        refuseAndClose(response);
        return httplib::Server::HandlerResponse::Handled;
    });
    // The library calls the logger after it has written the response.
    server.set_logger([](const httplib::Request&, const httplib::Response&) { resourceUntilWritten.reset(); });
    // Replaces the default of the library, which also sets SO_REUSEPORT and would let two processes listen on the same port unnoticed.
    server.set_socket_options([implementation = m_implementation.get()](socket_t socket) {
        implementation->socket = socket;
        int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    });
}

HttpServer::~HttpServer() { stop(); }

void HttpServer::route(const std::string& method, const std::string& pattern, Handler handler)
{
    auto& server = m_implementation->server;
    if (method == "GET") {
        server.Get(pattern, [handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) { toLibrary(handler(fromLibrary(request)), response); });
        return;
    }
    auto adapter = [handler = std::move(handler), &options = m_implementation->options](const httplib::Request& request, httplib::Response& response, const httplib::ContentReader& read) {
        auto received = fromLibrary(request);
        auto result = readBody(read, options, received.body);
        if (result == BodyResult::Endless) {
            refuseAndClose(response);
            return;
        }
        if (result == BodyResult::Refused) {
            toLibrary({ .status = HttpStatus::bodyTooLarge }, response);
            return;
        }
        toLibrary(handler(received), response);
    };
    if (method == "POST")
        server.Post(pattern, adapter);
    else if (method == "PUT")
        server.Put(pattern, adapter);
    else
        server.Delete(pattern, adapter);
}

Status HttpServer::start()
{
    // Without a handler, the library would read a body before it answers.
    for (const auto* method : { "POST", "PUT", "DELETE" })
        route(method, ".*", [](const HttpRequest&) { return HttpResponse { .status = HttpStatus::notFound }; });
    auto& options = m_implementation->options;
    auto& server = m_implementation->server;
    int port = options.port;
    if (port == 0)
        port = server.bind_to_any_port(options.host);
    else if (!server.bind_to_port(options.host, port))
        port = -1;
    if (port <= 0)
        return Error { ErrorCode::Unavailable, "cannot listen on " + options.host + ":" + std::to_string(options.port) };
    // The library listens with a backlog of 5. In a burst of connections, SYNs would be dropped and retransmitted only after 1 s.
    ::listen(m_implementation->socket, listenBacklog);
    m_implementation->boundAddress = Address { .host = options.host, .port = static_cast<std::uint16_t>(port) };
    m_implementation->acceptThread = std::thread([implementation = m_implementation.get()] { implementation->server.listen_after_bind(); });
    // httplib::Server::stop() has no effect before the server is running, so wait for it.
    while (!server.is_running())
        std::this_thread::yield();
    return success();
}

Address HttpServer::address() const { return m_implementation->boundAddress; }

void HttpServer::stop()
{
    m_implementation->server.stop();
    if (m_implementation->acceptThread.joinable())
        m_implementation->acceptThread.join();
}

} // namespace Onyxnotch
