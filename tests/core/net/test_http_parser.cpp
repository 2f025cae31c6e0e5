#include "core/net/http_parser.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

constexpr std::size_t headLimit = 512;

struct Parsed {
    HttpParserState state;
    HttpHead head;
    std::string body;
    std::string unparsed;
};

// Feeds `bytes` to a parser in pieces of `pieceBytes` bytes.
Parsed parse(HttpMessageKind kind, const std::string& bytes, std::size_t pieceBytes = 1U << 20U)
{
    HttpParser parser(kind, headLimit);
    std::string input;
    for (std::size_t at = 0; at < bytes.size(); at += pieceBytes) {
        input += bytes.substr(at, pieceBytes);
        parser.feed(input);
    }
    return { parser.state(), parser.head(), parser.body(), input };
}

HttpParserState stateOf(const std::string& bytes) { return parse(HttpMessageKind::Request, bytes).state; }

} // namespace

BOOST_AUTO_TEST_SUITE(HttpParserTests)

BOOST_AUTO_TEST_CASE(a_request_with_a_length_in_any_pieces)
{
    std::string bytes = "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length:  5 \r\n\r\nhelloGET";
    for (std::size_t pieceBytes : { 1UL, 2UL, 7UL, 1000UL }) {
        auto parsed = parse(HttpMessageKind::Request, bytes, pieceBytes);
        BOOST_TEST((parsed.state == HttpParserState::Complete));
        BOOST_TEST(parsed.head.method == "POST");
        BOOST_TEST(parsed.head.target == "/a/b?c=d");
        BOOST_TEST(parsed.body == "hello");
        BOOST_TEST(parsed.unparsed == "GET");
        BOOST_TEST(parsed.head.keepAlive);
    }
}

BOOST_AUTO_TEST_CASE(chunks_are_decoded_and_the_next_message_stays)
{
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nHTTP/1.1 500";
    for (std::size_t pieceBytes : { 1UL, 3UL, 1000UL }) {
        auto parsed = parse(HttpMessageKind::Response, bytes, pieceBytes);
        BOOST_TEST((parsed.state == HttpParserState::Complete));
        BOOST_TEST(parsed.head.status == 200);
        BOOST_TEST(parsed.body == "abcde");
        BOOST_TEST(parsed.unparsed == "HTTP/1.1 500");
    }
}

BOOST_AUTO_TEST_CASE(a_response_without_a_length_ends_with_its_connection)
{
    HttpParser parser(HttpMessageKind::Response, headLimit);
    std::string input = "HTTP/1.1 200 OK\r\n\r\nab";
    parser.feed(input);
    BOOST_TEST((parser.state() == HttpParserState::Body));
    BOOST_TEST(parser.endsWithConnection());
    BOOST_TEST((parser.finish() == HttpParserState::Complete));
    BOOST_TEST(parser.body() == "ab");
}

// Guards against bytes after such a head that are taken for its body, and against a wait for a body that never comes.
BOOST_AUTO_TEST_CASE(responses_whose_status_allows_no_body_end_with_their_head)
{
    for (const auto* fields : { "204 No Content\r\n", "204 No Content\r\nContent-Length: 5\r\n", "204 No Content\r\nTransfer-Encoding: chunked\r\n", "304 Not Modified\r\nContent-Length: 5\r\n" }) {
        BOOST_TEST_CONTEXT(fields)
        {
            HttpParser parser(HttpMessageKind::Response, headLimit);
            std::string input = std::string("HTTP/1.1 ") + fields + "\r\nhello";
            BOOST_TEST((parser.feed(input) == HttpParserState::Complete));
            BOOST_TEST(parser.body().empty());
            BOOST_TEST(input == "hello");
        }
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_response_is_not_complete)
{
    for (const auto* bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 200" }) {
        HttpParser parser(HttpMessageKind::Response, headLimit);
        std::string input = bytes;
        parser.feed(input);
        BOOST_TEST((parser.finish() != HttpParserState::Complete));
    }
}

BOOST_AUTO_TEST_CASE(ambiguous_messages_are_malformed)
{
    for (const auto* fields : { "Content-Length: 1\r\nContent-Length: 1\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n",
             "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n", "Content-Length: +1\r\n", "Content-Length: 1,1\r\n",
             "Content-Length: 0x1\r\n", "Content-Length:\r\n", "Content-Length : 1\r\n", "X: a\r\n b\r\n", "X: a\nY: b\r\n", "X: a\rb\r\n", "X y: a\r\n",
             ": a\r\n", "X\r\n", "Content-Length: 9999999999999999999\r\n" }) {
        BOOST_TEST_CONTEXT(fields)
        BOOST_TEST((stateOf(std::string("POST / HTTP/1.1\r\nHost: x\r\n") + fields + "\r\nab") == HttpParserState::Malformed));
    }
    for (const auto* line : { "GET  / HTTP/1.1", "GET /a b HTTP/1.1", "GET / HTTP/2.0", "get\t/ HTTP/1.1", " GET / HTTP/1.1", "GET / HTTP/1.1 ", "" }) {
        BOOST_TEST_CONTEXT(line)
        BOOST_TEST((stateOf(std::string(line) + "\r\nHost: x\r\n\r\n") == HttpParserState::Malformed));
    }
}

// Guards against a number that is no status being read as one, e.g. 000 as 0 and 00200 as 200.
BOOST_AUTO_TEST_CASE(a_response_whose_status_is_not_100_to_599_in_three_digits_is_malformed)
{
    auto stateOfResponse = [](const std::string& startLine) { return parse(HttpMessageKind::Response, startLine + "\r\nContent-Length: 0\r\n\r\n").state; };
    for (const auto* line : { "HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 42 OK", "HTTP/1.1 042 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
             "HTTP/1.1 0200 OK", "HTTP/1.1 00100 Continue", "HTTP/1.1 2000 OK", "HTTP/1.1 20 0 OK", "HTTP/1.1 2a0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200OK", "HTTP/1.1 ", "HTTP/1.1",
             "HTTP/1.10 200 OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "" }) {
        BOOST_TEST_CONTEXT(line)
        BOOST_TEST((stateOfResponse(line) == HttpParserState::Malformed));
    }
    for (const auto* line : { "HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 200 OK", "HTTP/1.1 599 Odd but valid", "HTTP/1.1 404 \xc3\xa9" }) {
        BOOST_TEST_CONTEXT(line)
        BOOST_TEST((stateOfResponse(line) == HttpParserState::Complete));
    }
}

BOOST_AUTO_TEST_CASE(a_head_over_the_limit)
{
    auto unterminated = "GET / HTTP/1.1\r\nX: " + std::string(headLimit, 'a');
    BOOST_TEST((stateOf(unterminated + "\r\n\r\n") == HttpParserState::HeadTooLarge));
    BOOST_TEST((stateOf(unterminated) == HttpParserState::HeadTooLarge));
}

// Guards against a message whose framing never ends: it is neither kept nor read without a limit.
BOOST_AUTO_TEST_CASE(chunk_extensions_and_trailer_fields_without_end_are_malformed)
{
    constexpr std::size_t maximumFramingBytes = 256U << 10U;
    for (const auto* begin : { "5;", "0\r\nX: " }) {
        BOOST_TEST_CONTEXT(begin)
        {
            HttpParser parser(HttpMessageKind::Response, headLimit);
            std::string input = std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + begin;
            std::size_t fed = 0;
            while (parser.feed(input) == HttpParserState::Body && fed < maximumFramingBytes) {
                BOOST_REQUIRE(input.empty());
                input.assign(16384, 'x');
                fed += input.size();
            }
            BOOST_TEST((parser.state() == HttpParserState::Malformed));
            BOOST_TEST(parser.body().empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_parser_can_be_reused_after_reset)
{
    HttpParser parser(HttpMessageKind::Request, headLimit);
    std::string input = "GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\nConnection: close\r\n\r\n";
    BOOST_TEST((parser.feed(input) == HttpParserState::Complete));
    BOOST_TEST(parser.head().target == "/1");
    parser.reset();
    BOOST_TEST((parser.feed(input) == HttpParserState::Complete));
    BOOST_TEST(parser.head().target == "/2");
    BOOST_TEST(!parser.head().keepAlive);
    BOOST_TEST(input.empty());
}

BOOST_AUTO_TEST_SUITE_END()
