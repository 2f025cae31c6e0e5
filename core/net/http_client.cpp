#include "core/net/http_client.h"

#include "core/text.h"
#include <atomic>
#include <cctype>
#include <httplib.h>

namespace Onyxnotch {

namespace {

    std::string percentEncode(const std::string& text)
    {
        static constexpr std::string_view digits = "0123456789ABCDEF";
        std::string encoded;
        for (unsigned char c : text) {
            bool unreserved = std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~';
            if (unreserved) {
                encoded += static_cast<char>(c);
                continue;
            }
            encoded += '%';
            encoded += digits[c >> 4U];
            encoded += digits[c & 0xFU];
        }
        return encoded;
    }

    constexpr std::size_t maximumBodyBytes = 16U << 20U;
    // Read timeouts that a complete body may take. A server that sends a byte now and then never runs into a single one.
    constexpr int maximumBodyReadTimeouts = 4;

    // If connecting failed, the request cannot have reached the server. After any other failure it may have been executed.
    Error failure(const Address& address, httplib::Error error)
    {
        bool neverSent = error == httplib::Error::Connection || error == httplib::Error::BindIPAddress || error == httplib::Error::ConnectionTimeout;
        return Error { neverSent ? ErrorCode::Unavailable : ErrorCode::Ambiguous, address.text() + ": " + httplib::to_string(error) };
    }

    void configure(httplib::Client& client, const HttpCall& call)
    {
        client.set_tcp_nodelay(true);
        client.set_keep_alive(false);
        client.set_connection_timeout(call.connectTimeout);
        client.set_read_timeout(call.readTimeout);
        client.set_write_timeout(call.readTimeout);
    }

    httplib::Request toLibrary(const HttpCall& call)
    {
        httplib::Request request;
        request.method = call.method;
        request.path = call.path;
        request.body = call.body;
        for (const auto& [name, value] : call.headers)
            request.headers.emplace(name, value);
        if (!call.body.empty())
            request.headers.emplace("Content-Type", call.contentType);
        return request;
    }

    HttpReply fromLibrary(const httplib::Response& response)
    {
        HttpReply reply { .status = response.status, .headers = {}, .body = response.body };
        for (const auto& [name, value] : response.headers)
            reply.headers.emplace(lowerCase(name), value);
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

Result<HttpReply> sendHttp(const Address& address, const HttpCall& call)
{
    httplib::Client client(address.host, address.port);
    configure(client, call);
    auto request = toLibrary(call);
    std::string body;
    auto deadline = steadyNow() + call.connectTimeout + maximumBodyReadTimeouts * call.readTimeout;
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        body.append(data, size);
        return body.size() <= maximumBodyBytes && steadyNow() < deadline;
    };
    auto result = client.send(request);
    if (!result)
        return failure(address, result.error());
    auto reply = fromLibrary(*result);
    reply.body = std::move(body);
    return reply;
}

struct HttpStream::Implementation {
    explicit Implementation(const Address& target)
        : address(target)
        , client(target.host, target.port)
    {
    }

    Address address;
    httplib::Client client;
    std::atomic<bool> cancelled { false };
};

HttpStream::HttpStream(const Address& address)
    : m_implementation(std::make_unique<Implementation>(address))
{
}

HttpStream::~HttpStream() = default;

Status HttpStream::run(const HttpCall& call, const HeaderReceiver& onHeaders, const DataReceiver& onData)
{
    auto& address = m_implementation->address;
    auto& client = m_implementation->client;
    auto& cancelled = m_implementation->cancelled;
    if (cancelled)
        return Error { ErrorCode::Unavailable, "cancelled before it was sent" };
    configure(client, call);
    auto request = toLibrary(call);
    request.response_handler = [&](const httplib::Response& response) { return !cancelled && onHeaders(fromLibrary(response)); };
    request.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
        return !cancelled && onData(std::string_view(data, size));
    };
    auto result = client.send(request);
    if (!result)
        return failure(address, result.error());
    return success();
}

void HttpStream::cancel()
{
    m_implementation->cancelled = true;
    m_implementation->client.stop();
}

} // namespace Onyxnotch
