#include "modules/forward/endpoint_call.h"

#include <algorithm>
#include <charconv>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumAnswerHeadBytes = 65536;
    constexpr std::size_t writeStepBytes = 65536;
    // Responses to other requests that are skipped before the one to this request, and the size of their bodies: a late response or two, each
    // as large as one that is buffered.
    constexpr unsigned maximumSkippedResponses = 16;
    constexpr std::size_t maximumSkippedBytes = 2U << 20U;

    // Returns the timeout parameter, given in seconds, of a Keep-Alive field, or nullopt if there is none.
    std::optional<Milliseconds> keepAliveTimeout(const HttpHead& head)
    {
        auto text = head.value("keep-alive");
        auto at = text.find("timeout=");
        if (at == std::string_view::npos)
            return std::nullopt;
        text.remove_prefix(at + std::string_view("timeout=").size());
        long seconds = 0;
        auto [remaining, ec] = std::from_chars(text.data(), text.data() + text.size(), seconds);
        return ec == std::errc() ? std::optional(Milliseconds(seconds * 1000)) : std::nullopt;
    }

} // namespace

EndpointCall::EndpointCall(ForwardContext& context, std::shared_ptr<EndpointState> endpoint, SentConnections& sent, EndpointCallOptions options)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_sent(sent)
    , m_options(std::move(options))
    , m_parser(HttpMessageKind::Response, maximumAnswerHeadBytes)
    , m_memory(context.responseMemory, m_endpoint, [this] { endForMemory(); })
{
}

EndpointCall::~EndpointCall() { releaseConnection(); }

void EndpointCall::cancel()
{
    m_isConnectionClosed = true;
    m_isCancelled = true;
    if (m_connection)
        closeConnection();
}

// Resets the connection if the request is only partly sent: an endpoint that does not read would not see a normal close, which is queued
// behind the request bytes.
void EndpointCall::closeConnection()
{
    if (m_isRequestSent)
        m_connection->close();
    else
        m_connection->reset();
}

void EndpointCall::releaseConnection()
{
    if (!m_connection)
        return;
    auto time = keepAliveTimeout(head()).value_or(m_context.options.defaultIdleTimeout + m_context.options.idleReuseMargin) - m_context.options.idleReuseMargin;
    // A late copy of a response without a request id could not be told from the response to the next request.
    bool hasRequestId = head().find(m_context.options.names.requestId);
    bool reusable = isComplete() && hasRequestId && m_isRequestSent && !m_isConnectionClosed && head().keepAlive && time.count() > 0 && m_connection->input().empty();
    if (!reusable) {
        closeConnection();
        --m_endpoint->connections;
        return;
    }
    // There may be many idle connections, so they keep no buffer.
    m_connection->input() = std::string();
    m_endpoint->idle.push_back({ .connection = m_connection, .usableUntil = steadyNow() + time });
}

void EndpointCall::closeIdleConnection(std::size_t index)
{
    auto entry = m_endpoint->idle.begin() + static_cast<std::ptrdiff_t>(index);
    entry->connection->close();
    m_endpoint->idle.erase(entry);
    --m_endpoint->connections;
}

// Takes the idle connection that was used last, among those on which the request was not sent yet.
bool EndpointCall::reuseIdleConnection()
{
    auto now = steadyNow();
    auto& idle = m_endpoint->idle;
    for (auto n = idle.size(); n > 0; --n) {
        auto index = n - 1;
        auto connection = idle[index].connection;
        if (now >= idle[index].usableUntil || !connection->isReusable()) {
            closeIdleConnection(index);
            continue;
        }
        if (m_sent.contains(connection))
            continue;
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
        m_connection = std::move(connection);
        return true;
    }
    return false;
}

asio::awaitable<CallStatus> EndpointCall::connect(Milliseconds timeout)
{
    if (m_isConnectionClosed)
        co_return CallStatus::NotConnected;
    if (reuseIdleConnection())
        co_return CallStatus::Success;
    // Connections that are still idle cannot be used for this request, so one of them gives way to a new connection.
    if (m_endpoint->connections >= m_options.maximumConnections && !m_endpoint->idle.empty())
        closeIdleConnection(0);
    m_isConnectionLimitReached = m_endpoint->connections >= m_options.maximumConnections;
    if (m_isConnectionLimitReached)
        co_return CallStatus::NotConnected;
    ++m_endpoint->connections;
    m_connection = std::make_shared<AsyncConnection>(m_context.context);
    auto ec = co_await m_connection->connect(m_endpoint->listed.address, std::min(m_options.deadline, steadyNow() + timeout));
    co_return ec || m_isConnectionClosed ? CallStatus::NotConnected : CallStatus::Success;
}

asio::awaitable<CallStatus> EndpointCall::send(const std::string& head, const std::string& body)
{
    m_sent.add(m_connection);
    // Head and body are written together: the head alone would be sent as a packet of its own.
    auto bytes = head + body;
    std::string_view remaining(bytes);
    while (!remaining.empty()) {
        asio::error_code ec;
        auto size = m_connection->writeWithoutBlocking(remaining.substr(0, writeStepBytes), ec);
        if (ec) {
            m_isConnectionLost = !m_isCancelled;
            co_return CallStatus::Failed;
        }
        remaining.remove_prefix(size);
        if (size > 0 || remaining.empty())
            continue;
        // The send buffer is full: the endpoint may be responding instead of reading.
        if (steadyNow() >= m_options.deadline)
            co_return CallStatus::TimedOut;
        ec = co_await m_connection->waitWritableOrReadable(m_options.deadline);
        m_isConnectionLost = ec && ec != asio::error::timed_out && !m_isCancelled;
        if (ec)
            co_return ec == asio::error::timed_out ? CallStatus::TimedOut : CallStatus::Failed;
        if (!m_connection->isReusable())
            co_return CallStatus::Success;
    }
    m_isRequestSent = true;
    co_return CallStatus::Success;
}

asio::awaitable<CallStatus> EndpointCall::receive()
{
    auto state = m_parser.feed(m_connection->input());
    if (state == HttpParserState::Malformed || state == HttpParserState::HeadTooLarge)
        co_return CallStatus::Failed;
    if (state == HttpParserState::Complete)
        co_return CallStatus::Success;
    auto ec = co_await m_connection->read(m_options.deadline);
    state = m_parser.feed(m_connection->input());
    updateMemory();
    if (m_memory.isEnded())
        co_return CallStatus::Failed;
    if (ec == asio::error::eof) {
        m_isConnectionClosed = true;
        state = m_parser.finish();
        m_isConnectionLost = state != HttpParserState::Complete && !m_isCancelled;
        co_return state == HttpParserState::Complete ? CallStatus::Success : CallStatus::Failed;
    }
    if (ec == asio::error::timed_out)
        co_return CallStatus::TimedOut;
    m_isConnectionLost = ec && state != HttpParserState::Complete && !m_isCancelled;
    bool hasFailed = ec || state == HttpParserState::Malformed || state == HttpParserState::HeadTooLarge;
    co_return hasFailed ? CallStatus::Failed : CallStatus::Success;
}

// A response with another request id belongs to another request. A response without an id may be an error from a component that did not
// read the request's id, but a success (2xx) must have the id if the request has one.
bool EndpointCall::isResponseTo(const std::string& requestId) const
{
    const auto* responseId = head().find(m_context.options.names.requestId);
    return responseId ? *responseId == requestId : requestId.empty() || head().status / 100 != 2;
}

asio::awaitable<CallStatus> EndpointCall::readHead(const std::string& requestId, bool expectBody)
{
    while (true) {
        if (!expectBody)
            m_parser.expectNoBody();
        while (m_parser.state() == HttpParserState::Head) {
            auto status = co_await receive();
            if (m_parser.state() == HttpParserState::HeadTooLarge)
                recordOversized("head");
            if (status != CallStatus::Success)
                co_return status;
        }
        m_options.onHead(head());
        bool isInterim = head().status / 100 == 1;
        if (!isInterim && isResponseTo(requestId))
            co_return CallStatus::Success;
        if (!isInterim)
            m_context.metrics.increment("onyxnotch_entry_unmatched_responses_total", {});
        auto status = co_await skipResponse();
        if (status != CallStatus::Success)
            co_return status;
    }
}

// Skips the body of an interim response, or of one to an earlier request, and prepares for reading the next response.
asio::awaitable<CallStatus> EndpointCall::skipResponse()
{
    ++m_skippedResponses;
    while (true) {
        m_skippedBytes += body().size();
        body().clear();
        if (m_skippedBytes > maximumSkippedBytes || m_skippedResponses > maximumSkippedResponses) {
            recordOversized("skipped");
            co_return CallStatus::Failed;
        }
        if (isComplete())
            break;
        auto status = co_await receive();
        if (status != CallStatus::Success)
            co_return status;
    }
    if (m_isConnectionClosed)
        co_return CallStatus::Failed;
    m_parser.reset();
    co_return CallStatus::Success;
}

void EndpointCall::updateMemory() { m_memory.resize(m_connection->input().capacity() + m_parser.memoryBytes() + m_takenBytes); }

void EndpointCall::setTakenBytes(std::size_t bytes)
{
    m_takenBytes = bytes;
    updateMemory();
}

void EndpointCall::endForMemory()
{
    recordOversized("total");
    cancel();
    m_connection->input() = std::string();
    body() = std::string();
    if (m_options.onEndedForMemory)
        m_options.onEndedForMemory();
}

void EndpointCall::recordOversized(const std::string& part) { m_context.metrics.increment("onyxnotch_entry_oversized_responses_total", { { "part", part } }); }

asio::awaitable<CallStatus> EndpointCall::readBody()
{
    if (isComplete())
        co_return CallStatus::Success;
    co_return co_await receive();
}

asio::awaitable<CallStatus> EndpointCall::readFullBody()
{
    while (!isComplete()) {
        auto status = co_await receive();
        if (status != CallStatus::Success)
            co_return status;
        if (body().size() > m_context.options.maximumBufferedResponseBytes) {
            recordOversized("body");
            co_return CallStatus::Failed;
        }
    }
    co_return CallStatus::Success;
}

} // namespace Onyxnotch
