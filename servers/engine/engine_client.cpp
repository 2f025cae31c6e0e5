#include "servers/engine/engine_client.h"

#include "core/json_decode.h"
#include "core/net/http_client.h"
#include "core/net/http_status.h"
#include "core/net/retry_after.h"
#include "core/net/server_sent_events.h"
#include "servers/engine/advertised_limit.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds streamReadTimeout { 5000 }; // Longest pause between bytes of a stream.
    constexpr Milliseconds shortCallTimeout { 500 }; // For load reports and cancellation.

    EngineEvent eventFromJson(const Json& document)
    {
        return EngineEvent {
            .streamId = document.at("stream_id"),
            .offset = document.at("offset"),
            .text = document.value("text", ""),
            .end = document.value("end", false),
            .moved = document.value("moved", false),
        };
    }

    // Maps the HTTP error status of a start or resume to the reason why the stream ended.
    EngineStreamEnd streamEndFromStatus(int status)
    {
        if (status == HttpStatus::notFound)
            return EngineStreamEnd::Gone;
        if (status == HttpStatus::rangeNotSatisfiable)
            return EngineStreamEnd::WrongOffset;
        return EngineStreamEnd::NotStarted;
    }

} // namespace

EngineStream::EngineStream(const Address& address)
    : m_stream(std::make_unique<HttpStream>(address))
{
}

EngineStream::~EngineStream() = default;

EngineStreamEnd EngineStream::start(const EngineStreamRequest& request, const Receiver& receiver)
{
    Json body {
        { "stream_id", request.streamId },
        { "model", request.model },
        { "adapter", request.adapter },
        { "prompt", request.prompt },
        { "prior", request.prior },
        { "max_tokens", request.maximumTokens },
        { "priority", request.priority },
    };
    auto text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    return read({ .method = "POST", .path = "/v1/streams", .headers = {}, .body = text, .readTimeout = streamReadTimeout }, receiver);
}

EngineStreamEnd EngineStream::resume(const std::string& streamId, std::uint64_t offset, const Receiver& receiver)
{
    auto path = "/v1/streams/" + streamId + "?offset=" + std::to_string(offset);
    return read({ .method = "GET", .path = path, .readTimeout = streamReadTimeout }, receiver);
}

EngineStreamEnd EngineStream::read(const HttpCall& call, const Receiver& receiver)
{
    int status = 0;
    bool isCompleted = false;
    ServerSentEventParser parser([&](const ServerSentEvent& event) {
        auto parsed = decodeJson<EngineEvent>(event.data, ErrorCode::Ambiguous, "engine event", eventFromJson);
        if (!parsed)
            return false;
        auto verdict = receiver(parsed.value());
        isCompleted = isCompleted || (parsed.value().end && verdict == EventVerdict::Take);
        return verdict != EventVerdict::Stop;
    });
    auto onHeaders = [&](const HttpReply& reply) {
        status = reply.status;
        if (HttpStatus::isRefusalStatus(status))
            m_requestedBackoff = parseRetryAfter(reply.header("retry-after"));
        m_onHead(advertisedLimit(reply));
        return reply.ok();
    };
    auto result = m_stream->run(call, onHeaders, [&](std::string_view data) { return parser.feed(data); });
    if (isCompleted)
        return EngineStreamEnd::Completed;
    if (status != 0 && (status < 200 || status >= 300))
        return streamEndFromStatus(status);
    if (!result && result.error().code == ErrorCode::Unavailable)
        return EngineStreamEnd::NotStarted;
    return EngineStreamEnd::Lost;
}

void EngineStream::detach() { m_stream->cancel(); }

EngineClient::EngineClient(const Address& address)
    : m_address(address)
{
}

Result<EngineLoad> EngineClient::load() const
{
    BOOST_OUTCOME_TRY(reply, sendHttp(m_address, { .path = "/v1/load", .connectTimeout = shortCallTimeout, .readTimeout = shortCallTimeout }));
    if (!reply.ok())
        return Error { ErrorCode::Ambiguous, "engine load: HTTP " + std::to_string(reply.status) };
    return decodeJson<EngineLoad>(reply.body, ErrorCode::Ambiguous, "engine load", [](const Json& document) {
        return EngineLoad {
            .running = document.value("running", 0U),
            .queued = document.value("queued", 0U),
            .leaving = document.value("leaving", false),
            .models = document.value("models", std::vector<std::string>()),
        };
    });
}

Status EngineClient::order(const EngineOrder& order, Milliseconds timeout) const
{
    Json body { { "order_id", order.orderId }, { "fence", order.fence }, { "model", order.model }, { "weights", order.weights }, { "adapters", order.adapters } };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_address, { .method = "POST", .path = "/v1/orders", .headers = {}, .body = body.dump(), .readTimeout = timeout }));
    if (reply.status == HttpStatus::conflict)
        return Error { ErrorCode::Conflict, "engine refused the order: " + reply.body };
    if (!reply.ok())
        return Error { ErrorCode::Ambiguous, "engine order: HTTP " + std::to_string(reply.status) + " " + reply.body };
    return success();
}

Status EngineClient::cancel(const std::string& streamId) const
{
    BOOST_OUTCOME_TRY(reply, sendHttp(m_address, { .method = "POST", .path = "/v1/streams/" + streamId + "/cancel", .headers = {}, .body = "{}", .readTimeout = shortCallTimeout }));
    if (!reply.ok())
        return Error { ErrorCode::NotFound, "engine cancel: HTTP " + std::to_string(reply.status) };
    return success();
}

Result<std::uint64_t> EngineClient::importStream(const std::string& streamId, const Address& source, Milliseconds timeout) const
{
    Json body { { "stream_id", streamId }, { "source", source.text() } };
    BOOST_OUTCOME_TRY(reply, sendHttp(m_address, { .method = "POST", .path = "/v1/kv/import", .headers = {}, .body = body.dump(), .readTimeout = timeout }));
    if (!reply.ok())
        return Error { ErrorCode::Ambiguous, "KV import: HTTP " + std::to_string(reply.status) + " " + reply.body };
    return decodeJson<std::uint64_t>(reply.body, ErrorCode::Ambiguous, "KV import", [](const Json& document) { return document.at("imported_tokens").get<std::uint64_t>(); });
}

} // namespace Onyxnotch
