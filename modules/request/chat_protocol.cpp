#include "modules/request/chat_protocol.h"

#include "core/json_decode.h"
#include "core/net/server_sent_events.h"

namespace Onyxnotch {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned maximumTokenLimit = 1000000;

    std::string dump(const Json& document)
    {
        return document.dump(-1, ' ', false, Json::error_handler_t::replace);
    }

    // The content of a message is a string, or an array of parts of which only those of type "text" are used.
    std::string contentText(const Json& content)
    {
        if (content.is_string())
            return content.get<std::string>();
        std::string text;
        for (const auto& it : content) {
            if (it.at("type") == "text")
                text += it.at("text").get<std::string>();
        }
        return text;
    }

    ChatRequest requestFromJson(const Json& document)
    {
        ChatRequest request { .service = document.at("model"), .stream = document.value("stream", false) };
        for (const auto& it : document.at("messages"))
            request.prompt += it.at("role").get<std::string>() + ": " + contentText(it.at("content")) + "\n";
        auto requestedTokens = document.value("max_completion_tokens", document.value("max_tokens", static_cast<std::int64_t>(request.maximumTokens)));
        if (requestedTokens < 1 || requestedTokens > maximumTokenLimit)
            throw std::invalid_argument("max_tokens must be from 1 to " + std::to_string(maximumTokenLimit));
        if (request.prompt.empty())
            throw std::invalid_argument("messages must not be empty");
        request.maximumTokens = static_cast<unsigned>(requestedTokens);
        return request;
    }

} // namespace

Result<ChatRequest> parseChatRequest(const std::string& body)
{
    return decodeJson<ChatRequest>(body, ErrorCode::InvalidArgument, "chat request", requestFromJson);
}

ChatEventWriter::ChatEventWriter(std::string requestId, std::string service)
    : m_requestId(std::move(requestId))
    , m_service(std::move(service))
{
}

std::string ChatEventWriter::chunk(const std::string& eventId, const std::string& choices, const std::string& extension) const
{
    std::string data = R"({"id":)" + dump(m_requestId) + R"(,"object":"chat.completion.chunk","model":)" + dump(m_service) + R"(,"choices":)" + choices;
    if (!extension.empty())
        data += R"(,"onyxnotch":)" + extension;
    data += "}";
    return writeServerSentEvent({ .id = eventId, .name = {}, .data = data });
}

std::string ChatEventWriter::accepted() const
{
    Json extension { { "event", "accepted" }, { "request_id", m_requestId } };
    return chunk({}, R"([{"index":0,"delta":{"role":"assistant","content":""},"finish_reason":null}])", dump(extension));
}

std::string ChatEventWriter::text(const AnswerPart& part) const
{
    auto id = part.attempt + ":" + std::to_string(part.offset + part.text.size());
    return chunk(id, R"([{"index":0,"delta":{"content":)" + dump(part.text) + R"(},"finish_reason":null}])", {});
}

std::string ChatEventWriter::completed(std::uint64_t finalOffset) const
{
    Json extension { { "event", "end" }, { "outcome", toString(RequestOutcome::Completed) }, { "final_offset", finalOffset } };
    return chunk({}, R"([{"index":0,"delta":{},"finish_reason":"stop"}])", {}) + chunk({}, "[]", dump(extension)) + writeServerSentEvent({ .id = {}, .name = {}, .data = "[DONE]" });
}

std::string ChatEventWriter::failed(RequestOutcome outcome, const std::string& reason, Milliseconds retryAfter) const
{
    Json extension { { "event", "end" }, { "outcome", toString(outcome) }, { "message", reason } };
    if (retryAfter.count() > 0)
        extension["retry_after_ms"] = retryAfter.count();
    return chunk({}, "[]", dump(extension));
}

std::string ChatEventWriter::moved(const std::vector<std::string>& addresses) const
{
    Json extension { { "event", "moved" }, { "request_id", m_requestId }, { "addresses", addresses } };
    return chunk({}, "[]", dump(extension));
}

std::string chatCompletion(const std::string& requestId, const std::string& service, const std::string& text, unsigned promptTokens, unsigned tokens)
{
    Json choice { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } }, { "finish_reason", "stop" } };
    Json document {
        { "id", requestId },
        { "object", "chat.completion" },
        { "model", service },
        { "choices", Json::array({ choice }) },
        { "usage", { { "prompt_tokens", promptTokens }, { "completion_tokens", tokens }, { "total_tokens", promptTokens + tokens } } },
        { "onyxnotch", { { "event", "end" }, { "outcome", toString(RequestOutcome::Completed) }, { "final_offset", text.size() } } },
    };
    return dump(document);
}

} // namespace Onyxnotch
