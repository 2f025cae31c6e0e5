#include "core/net/http_client.h"

#include "tests/fakes/scripted_endpoint.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Fakes;

namespace {

constexpr auto soundRest = "Content-Length: 9\r\n\r\nnot-sound"; // Of a response, after its start line.

// What a caller gets from a server that sends these bytes and closes the connection.
struct Received {
    bool succeeded { false };
    ErrorCode error {};
    int headers { 0 }; // How often a stream's head was passed on.
    std::string body {};
};

Received receive(const std::string& bytes)
{
    ScriptedEndpoint server([&](const auto&) { return ScriptedResponse { .bytes = bytes, .ending = ScriptedResponse::Ending::Close }; });
    auto reply = sendHttp(server.address(), { .path = "/" });
    return { .succeeded = reply.has_value(), .error = reply ? ErrorCode {} : reply.error().code, .body = reply ? reply.value().body : std::string() };
}

Received receiveStream(const std::string& bytes)
{
    ScriptedEndpoint server([&](const auto&) { return ScriptedResponse { .bytes = bytes, .ending = ScriptedResponse::Ending::Close }; });
    Received received;
    auto onHeaders = [&](const HttpReply&) {
        ++received.headers;
        return true;
    };
    auto onData = [&](std::string_view data) {
        received.body += data;
        return true;
    };
    auto result = HttpStream(server.address()).run({ .path = "/" }, onHeaders, onData);
    received.succeeded = result.has_value();
    received.error = result ? ErrorCode {} : result.error().code;
    return received;
}

// Checks that nothing of a response is believed: the request may have been executed.
void expectAmbiguous(const std::string& bytes)
{
    for (const auto& received : { receive(bytes), receiveStream(bytes) }) {
        BOOST_TEST(!received.succeeded);
        BOOST_TEST((received.error == ErrorCode::Ambiguous));
        BOOST_TEST(received.headers == 0);
        BOOST_TEST(received.body == "");
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpClients)

BOOST_AUTO_TEST_CASE(sound_responses_are_received)
{
    for (const std::string bytes : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", "HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nhello",
             "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello" }) {
        BOOST_TEST_CONTEXT(bytes)
        {
            auto reply = receive(bytes);
            BOOST_TEST(reply.succeeded);
            BOOST_TEST(reply.body == "hello");
            auto stream = receiveStream(bytes);
            BOOST_TEST(stream.succeeded);
            BOOST_TEST(stream.headers == 1);
            BOOST_TEST(stream.body == "hello");
        }
    }
}

// Guards against a number that is no status being passed on, or read as the status of a request that was not executed.
BOOST_AUTO_TEST_CASE(a_response_without_a_valid_status_is_an_error)
{
    for (const auto* line : { "HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 00200 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/2.0 200 OK", "200 OK", "" }) {
        BOOST_TEST_CONTEXT(line)
        expectAmbiguous(std::string(line).append("\r\n").append(soundRest));
    }
}

// Guards against a head in which the name of a field has a blank or a control byte, or whose lines different readers would split differently.
BOOST_AUTO_TEST_CASE(a_response_with_a_broken_field_is_an_error)
{
    for (const std::string line : { " X-Field: a", "X Field: a", "X-Field : a", "Transfer-Encoding : chunked", "Content-Length : 3", "X-\x01: a", "X-\x7f: a", "X-\x80: a", "X-(Field): a", ": a", "X-Field", "X-Field: a\r\n folded",
             "X-Field: a\rY-Field: b", "X-Field: a\nContent-Length: 3", "X-Field: \x01", "Content-Length: 3", "Transfer-Encoding: chunked", "Transfer-Encoding: gzip", "Content-Encoding: gzip" }) {
        BOOST_TEST_CONTEXT(line)
        expectAmbiguous(std::string("HTTP/1.1 200 OK\r\n").append(line).append("\r\n").append(soundRest));
    }
}

// Guards against a response that is cut short being taken for a complete one.
BOOST_AUTO_TEST_CASE(a_response_that_is_cut_short_is_an_error)
{
    for (const std::string whole : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" }) {
        for (std::size_t size = 0; size < whole.size(); size += 3)
            BOOST_TEST(!receive(whole.substr(0, size)).succeeded, "after " << size << " bytes");
    }
}

BOOST_AUTO_TEST_SUITE_END()
