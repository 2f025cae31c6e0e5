// The part of Exchange that writes the heads of requests and answers, and passes answers and events on to the client.
#include "modules/forward/exchange.h"

#include "core/net/http_status.h"
#include "modules/forward/head_fields.h"
#include <algorithm>
#include <charconv>

namespace Onyxnotch {

namespace {

    std::string chunk(std::string_view bytes)
    {
        char size[24];
        auto [end, ec] = std::to_chars(size, size + sizeof(size), bytes.size(), 16);
        std::string text(size, end);
        text += "\r\n";
        text += bytes;
        return text + "\r\n";
    }

    constexpr Milliseconds slowWrite { 3 }; // Passing on an event takes less; a client that takes longer delays the next one.
    constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace

bool Exchange::isEndpointEventStream(const HttpHead& head) const
{
    return m_route->kind == RequestKind::Stream && head.status / 100 == 2 && !HttpStatus::allowsNoBody(head.status) && head.find(m_context.options.names.receipt) && !head.find("content-encoding");
}

void Exchange::keepFailure(EndpointCall& call, const ChosenEndpoint& chosen)
{
    m_failureHead = call.head();
    m_failureBody = std::move(call.body());
    m_failureMemory.emplace(m_context.responseMemory, chosen.endpoint, [this] {
        m_failureBody = std::string();
        m_failureHead.reset();
        endWriteForMemory();
    });
    m_failureMemory->resize(m_failureBody.capacity());
}

asio::awaitable<AttemptOutcome> Exchange::relayBuffered(EndpointCall& call, const ChosenEndpoint& chosen)
{
    auto status = co_await call.readFullBody();
    if (status != CallStatus::Success)
        co_return status == CallStatus::TimedOut ? AttemptOutcome::OutOfTime : AttemptOutcome::MayHaveRun;
    bool isFromEndpoint = call.head().find(m_context.options.names.receipt) && !call.head().find("content-encoding");
    if (!isFromEndpoint)
        co_return AttemptOutcome::MayHaveRun;
    if (m_streamStarted)
        co_return AttemptOutcome::MayHaveRun;
    // Clients take this status as a promise that the request was not executed, but the endpoint has not reported that.
    if (HttpStatus::guaranteesNotExecuted(call.head().status))
        co_return AttemptOutcome::MayHaveRun;
    if (call.head().status / 100 == 5) {
        keepFailure(call, chosen);
        co_return AttemptOutcome::FailedAnswer;
    }
    // The body is not copied, because its client may take long to receive it.
    auto bytes = std::move(call.body());
    auto head = responseHead(call.head(), bytes.size());
    if (m_request.head.method == "HEAD")
        bytes.clear();
    bytes.insert(0, head);
    call.setTakenBytes(bytes.capacity());
    bool written = co_await writeToClient(bytes);
    writeLog(call.head().status, "answered");
    co_return written ? AttemptOutcome::Delivered : AttemptOutcome::CallerLeft;
}

AttemptOutcome Exchange::streamFailure() const { return m_streamStarted ? AttemptOutcome::StreamBroken : AttemptOutcome::MayHaveRun; }

Exchange::ReceivedEvents Exchange::takeEvents(EndpointCall& call, std::string& pending)
{
    ReceivedEvents received;
    pending += call.body();
    call.body().clear();
    auto check = m_events.take(pending, received.bytes);
    if (check == EventStreamCheck::TooLarge)
        m_context.metrics.increment("onyxnotch_entry_oversized_responses_total", { { "part", "event" } });
    received.isBroken = check != EventStreamCheck::Sound || (call.isComplete() && !pending.empty());
    received.isLast = call.isComplete() && !received.isBroken;
    return received;
}

asio::awaitable<AttemptOutcome> Exchange::relayStream(EndpointCall& call, const ChosenEndpoint& chosen)
{
    std::string pending;
    bool first = true;
    bool isWriteSlow = false;
    m_pauses.onAttempt();
    m_events.beginResponse();
    while (true) {
        auto receivedAt = steadyNow();
        auto earlierEvents = m_events.events();
        auto received = takeEvents(call, pending);
        // Events before a break are passed on too: the stream is resumed after the last one that was taken.
        std::string bytes;
        if (!received.bytes.empty() || received.isLast) {
            if (first)
                recordFirstEvent(chosen);
            first = false;
            recordPause(chosen, m_events.events() - earlierEvents, isWriteSlow, receivedAt);
            if (!m_streamStarted)
                bytes = responseHead(call.head(), std::nullopt);
            m_streamStarted = true;
            if (!received.bytes.empty())
                bytes += chunk(received.bytes);
        }
        if (received.isLast)
            bytes += lastChunk;
        call.setTakenBytes(pending.capacity() + bytes.capacity());
        if (!bytes.empty() && !co_await writeToClient(bytes))
            co_return AttemptOutcome::CallerLeft;
        isWriteSlow = steadyNow() - receivedAt > slowWrite;
        if (received.isLast)
            break;
        if (received.isBroken)
            co_return streamFailure();
        auto status = co_await call.readBody();
        if (status == CallStatus::TimedOut)
            co_return AttemptOutcome::OutOfTime;
        if (status != CallStatus::Success)
            co_return streamFailure();
    }
    writeLog(call.head().status, "streamed");
    co_return AttemptOutcome::Delivered;
}

asio::awaitable<ExchangeResult> Exchange::relayFailure()
{
    if (!m_failureHead)
        co_return co_await respond(endpointFailed);
    auto status = m_failureHead->status;
    auto bytes = std::move(m_failureBody);
    bytes.insert(0, responseHead(*m_failureHead, bytes.size()));
    auto written = co_await writeToClient(bytes);
    writeLog(status, "endpoint_failed");
    co_return written ? ExchangeResult::Answered : ExchangeResult::Close;
}

std::string Exchange::requestHead(const ListedEndpoint& endpoint) const
{
    const auto& names = m_context.options.names;
    std::string text = m_request.head.method + " " + m_request.head.target + " HTTP/1.1\r\n";
    for (const auto& it : m_request.head.fields) {
        bool replaced = equalsIgnoringCase(it.name, names.key) || equalsIgnoringCase(it.name, names.deadline) || equalsIgnoringCase(it.name, names.lastEventId)
            || std::any_of(names.ours.begin(), names.ours.end(), [&](const auto& name) { return equalsIgnoringCase(name, it.name); });
        if (!replaced && !isHopByHop(m_request.head, it.name, names))
            text += it.name + ": " + it.value + "\r\n";
    }
    auto add = [&](const std::string& name, const std::string& value) { text += name + ": " + value + "\r\n"; };
    add(names.deadline, std::to_string(std::max<std::int64_t>(1, timeLeft().count())));
    add(names.expectedEndpoint, endpoint.id);
    if (m_team)
        add(names.team, m_team->name);
    if (m_events.lastId())
        add(names.lastEventId, std::to_string(*m_events.lastId()));
    if (m_route->kind == RequestKind::Stream) {
        constexpr int lowestPriority = 9;
        add(names.priority, std::to_string(std::clamp(priority(), 0, lowestPriority)));
    }
    if (!m_request.body.empty() || m_request.head.contentLength || m_request.head.chunked)
        add("Content-Length", std::to_string(m_request.body.size()));
    return text + "\r\n";
}

std::string Exchange::responseHead(const HttpHead& head, std::optional<std::size_t> length) const
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + std::string(reasonPhrase(head.status)) + "\r\n";
    for (const auto& it : head.fields) {
        if (!isHopByHop(head, it.name, m_context.options.names))
            text += it.name + ": " + it.value + "\r\n";
    }
    if (m_closeAfter || m_context.isStopping())
        text += "Connection: close\r\n";
    if (!length)
        text += "Transfer-Encoding: chunked\r\n";
    else if (m_request.head.method == "HEAD" && head.contentLength)
        text += "Content-Length: " + std::to_string(*head.contentLength) + "\r\n";
    else if (!HttpStatus::allowsNoBody(head.status))
        text += "Content-Length: " + std::to_string(*length) + "\r\n";
    return text + "\r\n";
}

asio::awaitable<ExchangeResult> Exchange::respond(LocalResponse response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + std::string(reasonPhrase(response.status)) + "\r\n";
    if (!m_requestId.empty())
        text += m_context.options.names.requestId + ": " + m_requestId + "\r\n";
    if (response.retryAfter)
        m_retryAfterMilliseconds = response.retryAfter->count();
    if (response.retryAfter)
        text += "Retry-After: " + formatSeconds(*response.retryAfter) + "\r\n";
    if (m_closeAfter || m_context.isStopping())
        text += "Connection: close\r\n";
    text += "Content-Length: 0\r\n\r\n";
    writeLog(response.status, response.reason);
    co_return co_await writeToClient(text) ? ExchangeResult::Answered : ExchangeResult::Close;
}

void Exchange::endWriteForMemory()
{
    if (m_isWriting)
        m_client->reset();
}

asio::awaitable<bool> Exchange::writeToClient(std::string_view bytes)
{
    // A client that reads slowly delays only its own request, until the deadline. Every write gets at least this long.
    constexpr Milliseconds minimumWriteTime { 1000 };
    m_isWriting = true;
    auto ec = co_await m_client->write(bytes, std::max(m_deadline, steadyNow() + minimumWriteTime));
    m_isWriting = false;
    co_return !ec && !m_isClientDisconnected;
}

} // namespace Onyxnotch
