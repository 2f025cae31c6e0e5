// Incremental HTTP/1.1 parser based on the http_parser library, but stricter: rejects messages that different implementations could
// interpret differently (request smuggling).
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Onyxnotch {

struct HttpField {
    std::string name {}; // In its original spelling.
    std::string value {}; // Without leading and trailing whitespace.

    bool operator==(const HttpField&) const = default;
};

// Start line and header fields of a message.
struct HttpHead {
    std::string method {}; // Requests only.
    std::string target {}; // Requests only: path and query, not decoded.
    int status { 0 }; // Responses only.
    std::vector<HttpField> fields {};
    std::optional<std::uint64_t> contentLength {};
    bool chunked { false };
    bool keepAlive { true }; // The connection may be reused for another message.

    bool operator==(const HttpHead&) const = default;

    // Value of the first field with this name (case-insensitive); nullptr if there is none.
    const std::string* find(std::string_view name) const;
    // Like find(), but returns an empty text if there is no such field.
    std::string_view value(std::string_view name) const;
};

// Standard reason phrase of a status code (RFC 9110, section 15).
std::string_view reasonPhrase(int status);

bool equalsIgnoringCase(std::string_view, std::string_view);

enum class HttpMessageKind {
    Request,
    Response,
};

// State of the message being parsed.
enum class HttpParserState {
    Head, // The head is incomplete.
    Body, // The head is complete, the body is not.
    Complete, // Head and body are complete.
    HeadTooLarge,
    Malformed,
};

// Parses one message at a time; call reset() before the next one.
class HttpParser {
public:
    HttpParser(HttpMessageKind, std::size_t maximumHeadBytes);
    ~HttpParser();
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    // Parses bytes from the front of `input` and removes them. Bytes after the end of the message are left in `input`.
    HttpParserState feed(std::string& input);
    // Must be called when the peer has closed its sending side, which completes a response without a declared length.
    HttpParserState finish();
    HttpParserState state() const { return m_state; }
    const HttpHead& head() const { return m_head; }
    // Decoded bytes of the body. The caller may remove the ones it has processed.
    std::string& body() { return m_body; }
    // Bytes of memory that the parsed parts of the message occupy.
    std::size_t memoryBytes() const { return m_headBytes + m_head.fields.capacity() * sizeof(HttpField) + m_body.capacity(); }
    // True if the body ends only when the connection is closed.
    bool endsWithConnection() const;
    // Prepares for parsing the next message on the same connection.
    void reset();
    // The response has no body regardless of its header fields, e.g. for a HEAD request (RFC 9112, section 6.3). Call before feed().
    void expectNoBody() { m_noBody = true; }

private:
    struct Callbacks;

    bool parseHead(std::string& input);

    HttpMessageKind m_kind;
    std::size_t m_maximumHeadBytes;
    HttpParserState m_state { HttpParserState::Head };
    HttpHead m_head {};
    std::size_t m_headBytes { 0 }; // Length of the head as it was received.
    std::string m_body {};
    bool m_noBody { false };
    bool m_messageComplete { false };
    std::unique_ptr<Callbacks> m_callbacks;
};

} // namespace Onyxnotch
