// Tests endpoints whose responses have a broken head, with real entry processes: nothing of such a response reaches a client or is believed.
#include "tests/entry/notice_site.h"
#include "tests/entry/single_node_site.h"
#include <numeric>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr auto foreignBody = "not-sound";

// Start lines whose status is not one of 100 to 599 in three digits (RFC 9112, section 4; RFC 9110, section 15).
const std::vector<std::string> brokenStartLines {
    "HTTP/1.1 000 OK",
    "HTTP/1.1 000 ",
    "HTTP/1.1 000",
    "HTTP/1.1 0 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 042 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 700 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 00200 OK",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20x OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -200 OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1 200OK",
    "HTTP/1.1 OK",
    "HTTP/1.1 ",
    "HTTP/1.1",
    "HTTP/1.10 200 OK",
    "HTTP/01.1 200 OK",
    "HTTP/2.0 200 OK",
    "http/1.1 200 OK",
    "200 OK",
    "",
};

// Field lines whose name or framing is not allowed (RFC 9112, section 5; RFC 9110, section 5.1).
const std::vector<std::string> brokenFieldLines {
    " X-Field: a",
    "\tX-Field: a",
    "X Field: a",
    "X\tField: a",
    "X-Field : a",
    "X-Field\t: a",
    "Content-Length : 3",
    "Content Length: 3",
    "Transfer-Encoding : chunked",
    "X-\001Field: a",
    "\x1fX-Field: a",
    "X-\177Field: a",
    "X-\200Field: a",
    "X-\377Field: a",
    std::string("X-\0Field: a", 11),
    "X-(Field): a",
    "X-\"Field\": a",
    "X-Field\x0b: a",
    ": a",
    "X-Field",
    "X-Field: a\r\n folded",
    "X-Field: a\rY-Field: b",
    "X-Field: a\nY-Field: b",
    "X-Field: \x01",
    std::string("X-Field: \0", 10),
    "Content-Length: 9\r\nContent-Length: 3",
    "Content-Length: 9\r\nTransfer-Encoding: chunked",
    "Content-Length: +9",
    "Content-Length: 9, 9",
};

// The fields that a success of an endpoint has, with the length of `foreignBody`.
std::string soundFields(const Fakes::ReceivedRequest& it)
{
    return "Attempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nContent-Length: " + std::to_string(std::string_view(foreignBody).size()) + "\r\n";
}

// Index of the case that a request asks for, which is the last part of its path.
std::size_t caseOf(const Fakes::ReceivedRequest& it) { return std::stoul(it.head.target.substr(it.head.target.rfind('/') + 1)); }

using MakeResponse = std::function<std::string(const Fakes::ReceivedRequest&)>;

// Sends one request for each of `caseCount` responses on each kind of route. Each must end with a 502 of the node and run at most once,
// unless its route allows more.
void expectBadGateways(std::size_t caseCount, const MakeResponse& makeResponse)
{
    for (const std::string route : { "/once/", "/safe/", "/stream/", "/resume/" }) {
        SingleNodeSite one([&](const auto& it) { return Fakes::ScriptedResponse { .bytes = makeResponse(it) }; });
        for (std::size_t n = 0; n < caseCount; ++n) {
            BOOST_TEST_CONTEXT(route << n)
            {
                auto answer = one.sendRequest(request("GET", route + std::to_string(n), "id-" + std::to_string(n)));
                BOOST_TEST(answer.head.status == HttpStatus::badGateway);
                BOOST_TEST(answer.whole);
                BOOST_TEST(answer.body.find(foreignBody) == std::string::npos);
            }
        }
        BOOST_TEST(one.endpoint.requests().size() >= caseCount);
    }
}

// A response with this start line that also says that the request was not executed.
Fakes::ScriptedEndpoint::Script notExecutedWith(const std::string& startLine)
{
    return [startLine](const Fakes::ReceivedRequest& it) { return Fakes::ScriptedResponse { .bytes = startLine + "\r\nNot-Executed: 1\r\n" + soundFields(it) + "\r\n" + foreignBody }; };
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenHeads)

// Guards against a fault where an answer whose status was 000, or another number that is no status, was passed on to the client.
BOOST_AUTO_TEST_CASE(a_response_without_a_valid_status_is_not_passed_on)
{
    expectBadGateways(brokenStartLines.size(), [](const auto& it) { return brokenStartLines.at(caseOf(it)) + "\r\n" + soundFields(it) + "\r\n" + foreignBody; });
}

BOOST_AUTO_TEST_CASE(a_response_without_a_valid_status_is_not_passed_on_whatever_its_body)
{
    const std::vector<std::string> rests {
        "Attempt-Id: id-0\r\n\r\n",
        "Attempt-Id: id-1\r\nServer-Stamp: stamp-1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nnot-sound\r\n0\r\n\r\n",
        "Attempt-Id: id-2\r\nServer-Stamp: stamp-1\r\nContent-Length: 0\r\n\r\n",
        "Attempt-Id: id-3\r\nServer-Stamp: stamp-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        "\r\n",
    };
    expectBadGateways(rests.size(), [&](const auto& it) { return "HTTP/1.1 000 OK\r\n" + rests.at(caseOf(it)); });
}

// Guards against an interim response with such a status that is skipped, so that what follows it counts as the answer.
BOOST_AUTO_TEST_CASE(an_interim_response_without_a_valid_status_is_not_skipped)
{
    const std::vector<std::string> startLines { "HTTP/1.1 0100 Continue", "HTTP/1.1 00103 Early Hints", "HTTP/1.1 099 Continue" };
    expectBadGateways(startLines.size(), [&](const auto& it) { return startLines.at(caseOf(it)) + "\r\n\r\n" + answerTo(it, foreignBody); });
}

// Guards against a head in which the name of a field has a blank or a control byte, or whose lines different readers would split differently.
BOOST_AUTO_TEST_CASE(a_response_with_a_broken_field_is_not_passed_on)
{
    expectBadGateways(brokenFieldLines.size(), [](const auto& it) { return "HTTP/1.1 200 OK\r\n" + soundFields(it) + brokenFieldLines.at(caseOf(it)) + "\r\n\r\n" + foreignBody; });
}

BOOST_AUTO_TEST_CASE(an_interim_response_with_a_broken_field_is_not_skipped)
{
    expectBadGateways(brokenFieldLines.size(), [](const auto& it) { return "HTTP/1.1 103 Early Hints\r\n" + brokenFieldLines.at(caseOf(it)) + "\r\n\r\n" + answerTo(it, foreignBody); });
}

// Guards against a request that is executed twice because a broken response said that it was not executed.
BOOST_AUTO_TEST_CASE(a_broken_response_does_not_tell_that_a_request_was_not_executed)
{
    NoticeSite site;
    // Earns retries, so that one would be allowed.
    BOOST_REQUIRE(site.countGoodAnswers(30) == 30);
    for (const auto* startLine : { "HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 0503 Service Unavailable", "HTTP/1.1 00421 Misdirected Request", "HTTP/1.1 999 OK" }) {
        BOOST_TEST_CONTEXT(startLine)
        {
            auto before = site.requestCounts();
            for (auto* it : site.endpointServers)
                it->setScript(notExecutedWith(startLine));
            BOOST_TEST(site.sendRequest(0, "/once/a").head.status == HttpStatus::badGateway);
            auto after = site.requestCounts();
            BOOST_TEST(std::accumulate(after.begin(), after.end(), 0UL) - std::accumulate(before.begin(), before.end(), 0UL) == 1U);
        }
    }
}

// Guards against what an endpoint says about itself being taken from a response that is refused.
BOOST_AUTO_TEST_CASE(notices_in_a_broken_response_are_not_believed)
{
    const std::string notices = "Server-Leaving: 1\r\nServer-Limit: 0\r\nRetry-After: 60\r\n";
    for (const std::string startLine : { "HTTP/1.1 000 OK\r\n", "HTTP/1.1 0503 Service Unavailable\r\n", "HTTP/1.1 503 Service Unavailable\r\nX Field: a\r\n" }) {
        BOOST_TEST_CONTEXT(startLine)
        {
            SingleNodeSite one([&](const auto& it) {
                return Fakes::ScriptedResponse { .bytes = it.head.target == "/once/broken" ? startLine + notices + soundFields(it) + "\r\n" + foreignBody : answerTo(it, "hello") };
            });
            BOOST_TEST(one.sendRequest(request("GET", "/once/broken", "broken")).head.status == HttpStatus::badGateway);
            BOOST_TEST(one.sendRequest(request("GET", "/once/sound", "sound")).head.status == HttpStatus::ok);
        }
    }
}

// Guards against a repeatable request failing although another endpoint can answer it.
BOOST_AUTO_TEST_CASE(a_repeatable_request_goes_to_another_endpoint_after_a_broken_response)
{
    NoticeSite site;
    BOOST_REQUIRE(site.countGoodAnswers(30) == 30);
    auto chosen = site.preferredEndpoint();
    site.endpointServers[chosen]->setScript([](const auto& it) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 000 OK\r\n" + soundFields(it) + "\r\n" + foreignBody }; });
    auto answer = site.sendRequest();
    BOOST_TEST(answer.head.status == HttpStatus::ok);
    BOOST_TEST(answer.body == "hello");
}

BOOST_AUTO_TEST_SUITE_END()
