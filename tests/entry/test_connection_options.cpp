// Tests messages whose Connection field names fields that the node or the receiver needs, with real entry processes (RFC 9110, section
// 7.6.1: fields that are intended for all recipients must not be named there).
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// Each is the value of a Connection field, or of several.
const std::vector<std::string> optionLists {
    "Server-Stamp",
    "server-stamp",
    "Attempt-Id",
    "close, Server-Stamp , Attempt-Id",
    "Server-Stamp,\tattempt-id\t",
    "keep-alive\r\nConnection: Server-Stamp\r\nConnection: Attempt-Id",
    "Content-Type, Retry-After, Cache-Control, Server-Stamp, Attempt-Id",
};

constexpr auto mixedFields = "Connection: X-Hop,\tX-Tab\r\nConnection: X-Second\r\nX-Hop: a\r\nX-Tab: a\r\nX-Second: a\r\nX-End: a\r\n";
// Fields of a response besides its receipt and id.
constexpr auto otherFields = "Content-Type: text/event-stream\r\nCache-Control: no-store\r\n";

// Checks that a success has the fields that every client needs.
void expectWholeHead(const RawClient::Answer& answer, const std::string& id)
{
    BOOST_TEST(answer.head.status == HttpStatus::ok);
    BOOST_TEST(answer.whole);
    BOOST_TEST(answer.head.value("attempt-id") == id);
    BOOST_TEST(answer.head.value("server-stamp").starts_with("stamp"));
    BOOST_TEST(answer.head.value("content-type") == "text/event-stream");
}

// Checks a message that was sent with the fields `mixedFields`.
void expectEndToEndFieldsOnly(const HttpHead& head)
{
    for (const auto* name : { "x-hop", "x-tab", "x-second", "connection" })
        BOOST_TEST(!head.find(name), name);
    BOOST_TEST(head.value("x-end") == "a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionOptions)

// Guards against a fault where a success reached the client without its receipt or its id, because the endpoint had named them as fields of
// the connection.
BOOST_AUTO_TEST_CASE(a_response_keeps_its_receipt_and_id_whatever_its_connection_field_names)
{
    for (const auto& options : optionLists) {
        BOOST_TEST_CONTEXT(options)
        {
            SingleNodeSite one([&](const auto& it) {
                auto more = std::string(otherFields) + "Connection: " + options + "\r\n";
                if (it.head.target.starts_with("/stream/"))
                    return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 200 OK\r\nConnection: " + options + "\r\n" + streamHead(it).substr(std::string_view("HTTP/1.1 200 OK\r\n").size()) + events(1, 2) + "0\r\n\r\n" };
                return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello", more) };
            });
            auto plain = one.sendRequest(request("GET", "/once/a", "id-1"));
            expectWholeHead(plain, "id-1");
            BOOST_TEST(plain.body == "hello");
            auto stream = one.sendRequest(request("GET", "/stream/a", "id-2"));
            expectWholeHead(stream, "id-2");
            BOOST_TEST(stream.body == plainEvents(1, 2));
        }
    }
}

// Guards against a failure of an endpoint whose id is lost on the way.
BOOST_AUTO_TEST_CASE(a_failure_keeps_its_receipt_and_id)
{
    SingleNodeSite one([](const auto& it) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nConnection: Attempt-Id, Server-Stamp\r\nContent-Length: 0\r\n\r\n" };
    });
    auto answer = one.sendRequest(request("GET", "/once/a", "id-1"));
    BOOST_TEST(answer.head.status == 500);
    BOOST_TEST(answer.head.value("attempt-id") == "id-1");
    BOOST_TEST(answer.head.value("server-stamp") == "stamp-1");
}

// Guards against options after a tab, or in a second Connection field, being forwarded.
BOOST_AUTO_TEST_CASE(fields_of_the_connection_are_not_forwarded)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello", mixedFields) }; });
    auto answer = one.sendRequest(request("GET", "/once/a", "id-1", mixedFields));
    BOOST_REQUIRE(answer.head.status == HttpStatus::ok);
    expectEndToEndFieldsOnly(answer.head);
    expectEndToEndFieldsOnly(one.endpoint.requests().back().head);
}

// Guards against a request that its endpoint gets without its id, its size or its host, or without the limit of its time.
BOOST_AUTO_TEST_CASE(a_request_keeps_the_fields_that_its_endpoint_needs)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") }; });
    const std::string needed = "Token-Counts: 10,20\r\nPrefix-Hash: a1:10\r\nModel: m\r\nContent-Type: text/plain\r\n";
    const std::string options = "Connection: Attempt-Id, Host, Deadline-Ms, Expect-Instance, Tenant, Token-Counts, Prefix-Hash, Model, Content-Type, Content-Length\r\n";
    auto answer = one.sendRequest(request("POST", "/once/a", "id-1", needed + options, "body"));
    BOOST_REQUIRE(answer.head.status == HttpStatus::ok);
    auto received = one.endpoint.requests().back();
    BOOST_TEST(received.body == "body");
    BOOST_TEST(received.head.value("attempt-id") == "id-1");
    BOOST_TEST(received.head.value("host") == "h.example");
    BOOST_TEST(received.head.value("expect-instance") == "i-1");
    BOOST_TEST(received.head.value("tenant") == "team-a");
    BOOST_TEST(received.head.value("token-counts") == "10,20");
    BOOST_TEST(received.head.value("prefix-hash") == "a1:10");
    BOOST_TEST(received.head.value("model") == "m");
    BOOST_TEST(received.head.value("content-type") == "text/plain");
    BOOST_TEST(received.head.find("deadline-ms"));
}

BOOST_AUTO_TEST_SUITE_END()
