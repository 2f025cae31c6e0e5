#include "core/net/http_client.h"

#include "core/net/async_http_client.h"
#include "core/net/http_response_reader.h"
#include "core/text.h"
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <atomic>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumBodyBytes = 16U << 20U;
    // Read timeouts that a complete body may take. A server that sends a byte now and then never runs into a single one.
    constexpr int maximumBodyReadTimeouts = 4;

    // Encodes what may not stand in a request line as it is, because a path may have been decoded. A percent sign may begin what is encoded.
    std::string encodeTarget(std::string_view path)
    {
        constexpr std::string_view encodedCharacters = "+',;";
        std::string target;
        for (char it : path) {
            bool isVisible = it > ' ' && it < '\x7f';
            bool isKept = isVisible && encodedCharacters.find(it) == std::string_view::npos;
            target += isKept ? std::string(1, it) : percentEncode({ &it, 1 });
        }
        return target;
    }

    std::string encode(const HttpCall& call, const Address& address)
    {
        bool mayHaveBody = !call.body.empty() || call.method == "POST" || call.method == "PUT" || call.method == "PATCH";
        std::string text = call.method + " " + encodeTarget(call.path) + " HTTP/1.1\r\nHost: " + address.text() + "\r\nAccept: */*\r\nConnection: close\r\n";
        for (const auto& [name, value] : call.headers)
            text.append(name).append(": ").append(value).append("\r\n");
        if (!call.body.empty() && !call.headers.contains("Content-Type"))
            text += "Content-Type: " + call.contentType + "\r\n";
        if (mayHaveBody)
            text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
        return text + "\r\n" + call.body;
    }

    // No request asks for an encoding, and the caller could not tell an encoded body from the server's own.
    bool isEncoded(const HttpHead& head) { return head.find("content-encoding") && !equalsIgnoringCase(head.value("content-encoding"), "identity"); }

    HttpReply replyOf(const HttpHead& head)
    {
        HttpReply reply { .status = head.status };
        for (const auto& it : head.fields)
            reply.headers.emplace(lowerCase(it.name), it.value);
        return reply;
    }

} // namespace

std::string pathWithQuery(const std::string& path, const std::map<std::string, std::string>& query)
{
    auto target = path;
    char separator = '?';
    for (const auto& [name, value] : query) {
        target += separator;
        target += percentEncode(name);
        target += '=';
        target += percentEncode(value);
        separator = '&';
    }
    return target;
}

struct HttpStream::Implementation {
    explicit Implementation(const Address& target)
        : address(target)
        , connection(std::make_shared<AsyncConnection>(context))
    {
    }

    // If connecting failed, the request cannot have reached the server. After any other failure it may have been executed.
    Error unavailable(const std::string& reason) const { return { ErrorCode::Unavailable, address.text() + ": " + reason }; }
    Error ambiguous(const std::string& reason) const { return { ErrorCode::Ambiguous, address.text() + ": " + reason }; }

    // Sends the request on a new connection and receives the response.
    asio::awaitable<Status> exchange(const HttpCall& call, const HeaderReceiver& onHeaders, const DataReceiver& onData)
    {
        auto ec = co_await connection->connect(address, steadyNow() + call.connectTimeout);
        if (ec || cancelled)
            co_return unavailable("cannot connect: " + ec.message());
        auto bytes = encode(call, address);
        ec = co_await connection->write(bytes, steadyNow() + call.readTimeout);
        if (ec)
            co_return ambiguous("cannot send the request: " + ec.message());
        auto status = co_await receive(call, onHeaders, onData);
        co_return status;
    }

    // Passes the response on as it arrives.
    asio::awaitable<Status> receive(const HttpCall& call, const HeaderReceiver& onHeaders, const DataReceiver& onData)
    {
        HttpResponseReader reader(*connection);
        if (call.method == "HEAD")
            reader.expectNoBody();
        bool isHeadReceived = false;
        while (true) {
            auto ec = co_await reader.read(steadyNow() + call.readTimeout);
            if (reader.isMalformed() || isEncoded(reader.head()))
                co_return ambiguous("the response is malformed");
            bool mayGoOn = true;
            if (reader.hasHead() && !isHeadReceived)
                mayGoOn = onHeaders(replyOf(reader.head()));
            isHeadReceived = reader.hasHead();
            if (mayGoOn && !reader.body().empty())
                mayGoOn = onData(reader.body());
            reader.body().clear();
            if (!mayGoOn || cancelled)
                co_return ambiguous("the call was aborted");
            if (reader.isComplete())
                co_return success();
            if (ec)
                co_return ambiguous("the response is incomplete: " + ec.message());
        }
    }

    Address address;
    asio::io_context context {};
    std::shared_ptr<AsyncConnection> connection;
    std::atomic<bool> cancelled { false };
};

HttpStream::HttpStream(const Address& address)
    : m_implementation(std::make_unique<Implementation>(address))
{
}

HttpStream::~HttpStream() = default;

Status HttpStream::run(const HttpCall& call, const HeaderReceiver& onHeaders, const DataReceiver& onData)
{
    auto& it = *m_implementation;
    if (it.cancelled)
        return Error { ErrorCode::Unavailable, "cancelled before it was sent" };
    Status result = it.ambiguous("no response");
    auto exchange = [&]() -> asio::awaitable<void> {
        result = co_await it.exchange(call, onHeaders, onData);
        it.connection->close();
    };
    asio::co_spawn(it.context, exchange(), asio::detached);
    it.context.run();
    return result;
}

void HttpStream::cancel()
{
    m_implementation->cancelled = true;
    asio::post(m_implementation->context, [connection = m_implementation->connection] { connection->close(); });
}

Result<HttpReply> sendHttp(const Address& address, const HttpCall& call)
{
    HttpReply reply;
    auto deadline = steadyNow() + call.connectTimeout + maximumBodyReadTimeouts * call.readTimeout;
    auto onHeaders = [&](const HttpReply& head) {
        reply = head;
        return true;
    };
    auto onData = [&](std::string_view data) {
        reply.body.append(data);
        return reply.body.size() <= maximumBodyBytes && steadyNow() < deadline;
    };
    BOOST_OUTCOME_TRYV(HttpStream(address).run(call, onHeaders, onData));
    return reply;
}

} // namespace Onyxnotch
