#include "core/net/async_http_client.h"

#include "core/net/http_response_reader.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumIdleConnections = 3; // Lets short calls reuse a connection while other calls wait in a long poll.

    // A lost SYN is retransmitted only after 1, 3 and 7 s, so it is faster to give up and open a new connection. The limit covers many
    // round trips and equals the total timeout of a short call.
    constexpr Milliseconds connectTimeout { 700 };

    std::string encode(const AsyncHttpCall& call, const Address& address)
    {
        std::string text = call.method + " " + call.target + " HTTP/1.1\r\nHost: " + address.text() + "\r\n";
        for (const auto& it : call.fields)
            text += it.name + ": " + it.value + "\r\n";
        if (!call.body.empty())
            text += "Content-Type: " + call.contentType + "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n";
        text += "\r\n";
        return text + call.body;
    }

    bool isEndedByPeer(const asio::error_code& ec) { return ec == asio::error::eof || ec == asio::error::connection_reset || ec == asio::error::broken_pipe; }

} // namespace

AsyncHttpClient::AsyncHttpClient(asio::io_context& context, const Address& address)
    : m_context(context)
    , m_address(address)
{
}

void AsyncHttpClient::setAddress(const Address& address)
{
    if (address == m_address)
        return;
    m_address = address;
    m_idle.clear();
}

asio::awaitable<Result<std::shared_ptr<AsyncConnection>>> AsyncHttpClient::connection(SteadyTime deadline)
{
    while (!m_idle.empty()) {
        auto connection = m_idle.back();
        m_idle.pop_back();
        if (connection->isReusable())
            co_return connection;
    }
    auto connection = std::make_shared<AsyncConnection>(m_context);
    auto ec = co_await connection->connect(m_address, std::min(deadline, steadyNow() + connectTimeout));
    if (ec)
        co_return Error { ErrorCode::Unavailable, "cannot connect to " + m_address.text() + ": " + ec.message() };
    connection->probeWhenIdle();
    co_return connection;
}

asio::awaitable<Result<AsyncHttpReply>> AsyncHttpClient::call(const AsyncHttpCall& call)
{
    auto deadline = steadyNow() + call.timeout;
    auto acquired = co_await connection(deadline);
    if (!acquired)
        co_return acquired.error();
    auto connection = acquired.value();
    auto bytes = encode(call, m_address);
    auto ec = co_await connection->write(bytes, deadline);
    HttpResponseReader reader(*connection);
    while (!ec) {
        ec = co_await reader.read(deadline);
        if (reader.isMalformed())
            co_return Error { ErrorCode::Ambiguous, m_address.text() + " sent no HTTP answer" };
        if (reader.body().size() > call.maximumReplyBytes)
            co_return Error { ErrorCode::Ambiguous, m_address.text() + " sent more than " + std::to_string(call.maximumReplyBytes) + " bytes" };
        if (!reader.isComplete())
            continue;
        bool reusable = !ec && reader.head().keepAlive && connection->input().empty();
        if (reusable && m_idle.size() < maximumIdleConnections)
            m_idle.push_back(connection);
        co_return AsyncHttpReply { .head = reader.head(), .body = std::move(reader.body()) };
    }
    connection->close();
    co_return Error { isEndedByPeer(ec) ? ErrorCode::Disconnected : ErrorCode::Ambiguous, "no answer from " + m_address.text() + ": " + ec.message() };
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view hex = "0123456789ABCDEF";
    std::string encoded;
    for (char it : text) {
        auto byte = static_cast<unsigned char>(it);
        if (std::isalnum(byte) || std::string_view("-._~").find(it) != std::string_view::npos) {
            encoded += it;
            continue;
        }
        encoded += '%';
        encoded += hex[byte >> 4U];
        encoded += hex[byte & 15U];
    }
    return encoded;
}

} // namespace Onyxnotch
