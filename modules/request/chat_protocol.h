// The callers' interface for model services: the chat-completions shape that callers' libraries already speak. What is ours stands
// in the member "onyxnotch" of chunks whose choices are empty, which those libraries pass over.
#pragma once

#include "core/outcome.h"
#include "modules/request/answer_buffer.h"
#include <string>
#include <vector>

namespace Onyxnotch {

struct ChatRequest {
    std::string service {}; // The member "model".
    std::string prompt {}; // The messages as one text, "role: content" a line.
    unsigned maximumTokens { 256 };
    bool stream { false };

    bool operator==(const ChatRequest&) const = default;
};

// Errors: InvalidArgument, naming the member.
Result<ChatRequest> parseChatRequest(const std::string& body);

// Writes one answer's events. Event ids are "ATTEMPT:OFFSET", what a caller needs to go on elsewhere.
class ChatEventWriter {
public:
    ChatEventWriter(std::string requestId, std::string service);

    // The first event: names the request.
    std::string accepted() const;
    std::string text(const AnswerPart&) const;
    // The last event of a whole answer.
    std::string completed(std::uint64_t finalOffset) const;
    // The last event of an answer that is not whole.
    std::string failed(RequestOutcome, const std::string& reason, Milliseconds retryAfter) const;
    // The answer goes on at these addresses.
    std::string moved(const std::vector<std::string>& addresses) const;

private:
    std::string chunk(const std::string& eventId, const std::string& choices, const std::string& own) const;

    std::string m_requestId {};
    std::string m_service {};
};

// The whole answer as one JSON document.
std::string chatCompletion(const std::string& requestId, const std::string& service, const std::string& text, unsigned promptTokens, unsigned tokens);

} // namespace Onyxnotch
