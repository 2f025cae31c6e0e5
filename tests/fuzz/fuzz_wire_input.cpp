// Fuzz target for data received from clients and endpoints: HTTP messages and streams of server-sent events. Built and run by misc/fuzz.sh.
#include "core/net/http_parser.h"
#include "modules/forward/event_stream.h"
#include <cstdlib>
#include <string>

namespace {

using namespace Onyxnotch;

constexpr std::size_t headLimit = 1024;

struct Outcome {
    HttpParserState state;
    HttpHead head;
    std::string body;
    std::string unparsed;

    bool operator==(const Outcome&) const = default;
};

Outcome parse(HttpMessageKind kind, const std::string& bytes, std::size_t pieceBytes)
{
    HttpParser parser(kind, headLimit);
    std::string input;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        input += bytes.substr(at, pieceBytes);
        parser.feed(input);
    }
    return { parser.state(), parser.head(), parser.body(), input };
}

void require(bool condition)
{
    if (!condition)
        std::abort();
}

// The parsed message must not depend on how the input is split into pieces, and a complete message must be unambiguous.
void checkMessage(HttpMessageKind kind, const std::string& bytes)
{
    auto unsplit = parse(kind, bytes, bytes.size() + 1);
    auto split = parse(kind, bytes, 3);
    bool isComplete = unsplit.state == HttpParserState::Complete;
    require(isComplete == (split.state == HttpParserState::Complete));
    if (!isComplete)
        return;
    require(unsplit == split);
    require(!(unsplit.head.chunked && unsplit.head.contentLength));
    if (unsplit.head.contentLength)
        require(unsplit.body.size() == *unsplit.head.contentLength);
    for (const auto& it : unsplit.head.fields)
        require(it.name.find_first_of(" \t\r\n:") == std::string::npos && it.value.find_first_of("\r\n") == std::string::npos);
    require(unsplit.head.target.find_first_of(" \r\n") == std::string::npos);
}

// Returns the events that are taken from input that arrives in pieces.
std::string takeInPieces(const std::string& bytes)
{
    constexpr std::size_t pieceBytes = 3;
    EventStream events;
    std::string input;
    std::string output;
    auto check = EventStreamCheck::Sound;
    for (std::size_t at = 0; at < bytes.size() && check == EventStreamCheck::Sound; at += pieceBytes) {
        input += bytes.substr(at, pieceBytes);
        check = events.take(input, output);
    }
    return output;
}

// The output must be a prefix of the input and consist of complete events, however the input is split into pieces.
void checkEvents(const std::string& bytes)
{
    EventStream events;
    std::string input = bytes;
    std::string output;
    auto check = events.take(input, output);
    require(output + input == bytes);
    require(output.empty() || output.back() == '\n');
    require(check == EventStreamCheck::OutOfOrder || input.find("\n\n") == std::string::npos);
    require(takeInPieces(bytes) == output);
}

} // namespace

// libFuzzer requires this name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    std::string bytes(reinterpret_cast<const char*>(data), size);
    checkMessage(HttpMessageKind::Request, bytes);
    checkMessage(HttpMessageKind::Response, bytes);
    checkEvents(bytes);
    return 0;
}
