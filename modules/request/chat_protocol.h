// Client API of model services in the chat-completions format, which common client libraries support: parses requests and writes answers.
// Fields specific to this project are in the member "onyxnotch" of chunks that carry no answer text; those libraries ignore them.
#pragma once

#include "core/outcome.h"
#include "modules/request/answer_buffer.h"
#include <string>
#include <vector>

namespace Onyxnotch {

struct ChatRequest {
    std::string service {}; // Member "model" of the JSON body.
    std::string prompt {}; // All messages joined into one text, one line "role: content" for each.
    unsigned maximumTokens { 256 };
    bool stream { false };

    bool operator==(const ChatRequest&) const = default;
};

// Parses the JSON body of a chat request. Errors: InvalidArgument, with a message that names the member at fault.
Result<ChatRequest> parseChatRequest(const std::string& body);

// Writes the server-sent events of one streamed answer. Text events have the id "ATTEMPT:OFFSET" (the offset after their text), with which
// a client can resume the answer at this or another gateway.
class ChatEventWriter {
public:
    ChatEventWriter(std::string requestId, std::string service);

    // First event of a stream. Contains the request id.
    std::string accepted() const;
    std::string text(const AnswerPart&) const;
    // Last events of a complete answer, of `finalOffset` bytes.
    std::string completed(std::uint64_t finalOffset) const;
    // Last event of an answer that did not complete. `retryAfter` is left out if it is 0.
    std::string failed(RequestOutcome, const std::string& reason, Milliseconds retryAfter) const;
    // Last event at this gateway if the request has moved: the answer continues at these addresses.
    std::string moved(const std::vector<std::string>& addresses) const;

private:
    std::string chunk(const std::string& eventId, const std::string& choices, const std::string& extension) const;

    std::string m_requestId {};
    std::string m_service {};
};

// Response without streaming: the complete answer as one JSON document.
std::string chatCompletion(const std::string& requestId, const std::string& service, const std::string& text, unsigned promptTokens, unsigned tokens);

} // namespace Onyxnotch
