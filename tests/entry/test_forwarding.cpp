// Tests request forwarding with real entry processes: the bytes that reach an endpoint, and the bytes that the client receives.
#include "tests/entry/single_node_site.h"
#include "tests/entry/stream_answers.h"
#include <csignal>
#include <set>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

Fakes::ScriptedResponse plainAnswer(const Fakes::ReceivedRequest& it) { return { .bytes = answerTo(it, "hello") }; }

} // namespace

BOOST_AUTO_TEST_SUITE(Forwarding)

BOOST_AUTO_TEST_CASE(a_request_is_forwarded_unchanged_except_for_proxy_fields)
{
    SingleNodeSite one(plainAnswer);
    auto answer = one.sendRequest(request("POST", "/once/a?b=c%20d", "id-1", "X-Other: kept\r\nTenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n", "body"));
    BOOST_TEST(answer.head.status == HttpStatus::ok);
    BOOST_TEST(answer.body == "hello");
    BOOST_TEST(answer.head.value("server-stamp") == "stamp-1");
    auto received = one.endpoint.requests().at(0);
    BOOST_TEST(received.head.method == "POST");
    BOOST_TEST(received.head.target == "/once/a?b=c%20d");
    BOOST_TEST(received.body == "body");
    BOOST_TEST(received.head.value("attempt-id") == "id-1");
    BOOST_TEST(received.head.value("x-other") == "kept");
    BOOST_TEST(received.head.value("tenant") == "team-a");
    BOOST_TEST(received.head.value("expect-instance") == "i-1");
    BOOST_TEST(!received.head.find("credential"));
    BOOST_TEST(!received.head.find("x-hop"));
    auto deadlineMilliseconds = std::stoi(std::string(received.head.value("deadline-ms")));
    BOOST_TEST(deadlineMilliseconds > 1000);
    BOOST_TEST(deadlineMilliseconds <= 1500);
}

BOOST_AUTO_TEST_CASE(a_chunked_body_arrives_complete)
{
    SingleNodeSite one(plainAnswer);
    auto answer = one.sendRequest(request("POST", "/once/a", "id-1", "Transfer-Encoding: chunked\r\n") + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(answer.head.status == HttpStatus::ok);
    BOOST_TEST(one.endpoint.requests().at(0).body == "abcde");
}

BOOST_AUTO_TEST_CASE(invalid_requests_are_refused)
{
    SingleNodeSite one(plainAnswer);
    BOOST_TEST(one.sendRequest(request("GET", "/none/", "id-1")).head.status == HttpStatus::notFound);
    BOOST_TEST(one.sendRequest("GET /safe/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: i\r\nCredential: other\r\n\r\n").head.status == HttpStatus::unauthorized);
    BOOST_TEST(one.sendRequest("GET /public/a HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: i\r\n\r\n").head.status == HttpStatus::ok);
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-1", "Content-Length: 2000000\r\n")).head.status == HttpStatus::bodyTooLarge);
    BOOST_TEST(one.sendRequest(request("GET", "/once/a", "id-1", "X: " + std::string(5000, 'a') + "\r\n")).head.status == HttpStatus::headTooLarge);
    BOOST_TEST(one.sendRequest("GET /safe/a HTTP/1.1\r\nHost: h.ex").head.status == HttpStatus::requestTimeout);
    BOOST_TEST(one.endpoint.requests().size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_ambiguous_request_is_not_forwarded)
{
    SingleNodeSite one(plainAnswer);
    for (const auto* fields : { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n", "X: a\r\n folded\r\n", "X : a\r\n" })
        BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-1", fields)).head.status == HttpStatus::badRequest);
    BOOST_TEST(one.endpoint.requests().empty());
}

BOOST_AUTO_TEST_CASE(without_a_configuration_requests_get_service_unavailable)
{
    EntrySite site;
    auto& node = site.startNode("node-1");
    auto answer = EntrySite::ask(node.callers, request("GET", "/safe/a", "id-1"));
    BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(answer.head.find("retry-after"));
    BOOST_TEST(EntrySite::ask(node.readiness, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").head.status == HttpStatus::serviceUnavailable);
}

// After a power failure, clients connected during the 13 ms that the store took to answer, and were told to come back after 300 ms.
BOOST_AUTO_TEST_CASE(a_request_before_the_first_configuration_waits_for_it)
{
    EntrySite site;
    site.declare(EntrySite::declaration(3));
    site.addEndpoint("i-1", [](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") }; });
    site.platform().setHeld(true);
    auto& node = site.startNode("node-1", { { "startWaitMs", 20000 } });
    RawClient caller(node.callers);
    caller.send(request("GET", "/safe/a", "id-1"));
    BOOST_TEST(EntrySite::ask(node.readiness, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").head.status == HttpStatus::serviceUnavailable);
    site.platform().setHeld(false);
    BOOST_TEST(caller.read().head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(chunked_and_close_delimited_answers_are_forwarded)
{
    SingleNodeSite one(plainAnswer);
    auto head = [](const auto& it) { return "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: s\r\n"; };
    one.endpoint.setScript([&](const auto& it) { return Fakes::ScriptedResponse { .bytes = head(it) + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" }; });
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-1")).body == "abc");
    one.endpoint.setScript([&](const auto& it) { return Fakes::ScriptedResponse { .bytes = head(it) + "\r\nuntil the end", .ending = Ending::Close }; });
    auto answer = one.sendRequest(request("GET", "/safe/a", "id-2"));
    BOOST_TEST(answer.body == "until the end");
    BOOST_TEST(answer.whole);
}

// Guards against bytes of a faulty endpoint that stand before the client's next answer.
BOOST_AUTO_TEST_CASE(bytes_after_an_answer_without_a_body_are_not_forwarded)
{
    SingleNodeSite one([](const auto& it) {
        auto head = "HTTP/1.1 204 No Content\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: s\r\n";
        return Fakes::ScriptedResponse { .bytes = head + "Content-Length: 5\r\n\r\nhello" };
    });
    RawClient caller(one.node.callers);
    for (const auto* id : { "id-1", "id-2" }) {
        caller.send(request("GET", "/safe/a", id));
        auto answer = caller.read();
        BOOST_TEST(answer.whole);
        BOOST_TEST(answer.head.status == HttpStatus::noContent);
        BOOST_TEST(answer.head.value("attempt-id") == id);
    }
}

// Guards against a chunked body, which a 204 cannot have, on a route for streams: the client would find it before its next answer.
BOOST_AUTO_TEST_CASE(an_answer_without_a_body_on_a_stream_route_is_forwarded_without_one)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 204 No Content\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: s\r\n\r\n" }; });
    RawClient caller(one.node.callers);
    for (const auto* id : { "id-1", "id-2" }) {
        caller.send(request("POST", "/stream/a", id, "", "x"));
        auto answer = caller.read();
        BOOST_TEST(answer.head.status == HttpStatus::noContent);
        BOOST_TEST(!answer.head.chunked);
        BOOST_TEST(answer.head.value("attempt-id") == id);
    }
}

BOOST_AUTO_TEST_CASE(a_truncated_answer_is_neither_forwarded_nor_retried)
{
    for (auto ending : { Ending::Close, Ending::Reset }) {
        SingleNodeSite one([&](const auto& it) {
            auto bytes = answerTo(it, "hello");
            return Fakes::ScriptedResponse { .bytes = bytes.substr(0, bytes.size() - 2), .ending = ending };
        });
        BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-1", "", "x")).head.status == HttpStatus::badGateway);
        BOOST_TEST(one.endpoint.requests().size() == 1U);
    }
}

BOOST_AUTO_TEST_CASE(a_success_without_a_stamp_or_with_an_encoding_is_a_bad_gateway)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nContent-Length: 2\r\n\r\nab" }; });
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-1", "", "x")).head.status == HttpStatus::badGateway);
    one.endpoint.setScript([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "ab", "Content-Encoding: gzip\r\n") }; });
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-2", "", "x")).head.status == HttpStatus::badGateway);
}

BOOST_AUTO_TEST_CASE(an_unmatched_answer_is_discarded)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "first") }; });
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-1")).body == "first");
    one.endpoint.setScript([](const auto& it) {
        auto late = Fakes::ReceivedRequest {};
        late.head.fields.push_back({ .name = "Attempt-Id", .value = "id-1" });
        return Fakes::ScriptedResponse { .bytes = answerTo(late, "late") + answerTo(it, "second") + answerTo(late, "later still") };
    });
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-2")).body == "second");
    one.endpoint.setScript([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "third") }; });
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-3")).body == "third");
}

BOOST_AUTO_TEST_CASE(only_a_refusal_with_not_executed_gets_service_unavailable)
{
    SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" }; });
    auto refused = one.sendRequest(request("POST", "/once/a", "id-1", "", "x"));
    BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(refused.head.find("retry-after"));
    one.endpoint.setScript([](const auto&) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" }; });
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-2", "", "x")).head.status == HttpStatus::badGateway);
    one.endpoint.setScript([](const auto&) { return Fakes::ScriptedResponse { .ending = Ending::Hang }; });
    auto began = steadyNow();
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-3", "", "x")).head.status == HttpStatus::gatewayTimeout);
    auto waited = toMilliseconds(steadyNow() - began);
    BOOST_TEST(waited.count() >= 1400);
    BOOST_TEST(waited.count() < 2000);
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_is_retried_at_another_endpoint)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "x").substr(0, 20), .ending = Ending::Close }; });
    one.site.addEndpoint("i-2", [](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "from the other") }; });
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-2\"") != std::string::npos; }, Milliseconds(10000)));
    // Whichever endpoint is tried first, the client gets the complete answer of the second one.
    for (int n = 0; n < 6; ++n)
        BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-" + std::to_string(n))).body == "from the other");
}

BOOST_AUTO_TEST_CASE(a_request_is_retried_if_the_endpoint_is_unreachable)
{
    SingleNodeSite one(plainAnswer);
    one.site.list("i-0", { .host = "127.0.0.1", .port = 1 }, "ready");
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-0\"") != std::string::npos; }, Milliseconds(10000)));
    for (int n = 0; n < 6; ++n)
        BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-" + std::to_string(n), "", "x")).head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(an_early_answer_ends_the_transfer_of_the_body)
{
    SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", .ending = Ending::Hang, .beforeBody = true }; });
    auto roomy = EntrySite::declaration(2);
    roomy["limits"]["maxBodyBytes"] = 64000000;
    one.site.declare(roomy);
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"version\":2") != std::string::npos; }, Milliseconds(10000)));
    // Larger than all socket buffers, so that the transfer cannot complete before the endpoint answers.
    std::string longBody;
    longBody.resize(30000000, 'x');
    auto answer = one.sendRequest(request("POST", "/once/a", "id-1", "", longBody));
    BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(waitUntil([&] { return one.endpoint.closedByPeer() == 1; }));
}

BOOST_AUTO_TEST_CASE(a_disconnected_client_frees_its_endpoint)
{
    SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse { .ending = Ending::Hang }; });
    RawClient caller(one.node.callers);
    caller.send(request("GET", "/safe/a", "id-1"));
    BOOST_REQUIRE(waitUntil([&] { return one.endpoint.requests().size() == 1; }));
    auto closedAt = steadyNow();
    caller.close();
    BOOST_TEST(waitUntil([&] { return one.endpoint.closedByPeer() == 1; }));
    BOOST_TEST(toMilliseconds(steadyNow() - closedAt).count() < 500);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_new_requests)
{
    SingleNodeSite one(plainAnswer);
    auto& other = one.site.addEndpoint("i-2", plainAnswer);
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-2\"") != std::string::npos; }, Milliseconds(10000)));
    one.site.list("i-1", one.endpoint.address(), "draining");
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-1\"") != std::string::npos && it.find("\"leaving\":1") != std::string::npos; }, Milliseconds(10000)));
    auto before = one.endpoint.requests().size();
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-" + std::to_string(n))).head.status == HttpStatus::ok);
    BOOST_TEST(one.endpoint.requests().size() == before);
    BOOST_TEST(other.requests().size() == 10U);
}

BOOST_AUTO_TEST_CASE(a_misdirected_request_gets_service_unavailable)
{
    SingleNodeSite one([](const auto&) { return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: i-9\r\nContent-Length: 0\r\n\r\n" }; });
    auto answer = one.sendRequest(request("POST", "/once/a", "id-1", "", "x"));
    BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-2", "", "x")).head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(one.endpoint.requests().size() == 1U);
}

// A request that an endpoint refused without executing it stayed charged to its team.
BOOST_AUTO_TEST_CASE(a_refused_request_is_not_charged_to_its_team)
{
    SingleNodeSite one(plainAnswer);
    auto limited = EntrySite::declaration(2);
    limited["tenants"][0]["unit"] = "token_stream";
    limited["tenants"][0]["ratePerS"] = 100;
    limited["tenants"][0]["burst"] = 100;
    one.site.declare(limited);
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"configuration_in_force\"") != std::string::npos && it.find("\"version\":2") != std::string::npos; }, Milliseconds(5000)));
    one.endpoint.setScript([](const auto& it) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 503 Busy\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    });
    // The first request is forwarded and refused. If its 6,000 tokens were charged, the team would be over its rate of 100 per second for a
    // minute.
    auto large = request("GET", "/safe/a", "id-1", "Token-Counts: 6000,0\r\n");
    BOOST_REQUIRE(waitUntil([&] { return one.sendRequest(large).head.status == HttpStatus::serviceUnavailable && !one.endpoint.requests().empty(); }));
    one.endpoint.setScript(plainAnswer);
    BOOST_TEST(waitUntil([&] { return one.sendRequest(request("GET", "/safe/a", "id-2", "Token-Counts: 10,0\r\n")).head.status == HttpStatus::ok; }, Milliseconds(5000)));
}

// With too few endpoints all requests were accepted, and all of them were answered too late.
BOOST_AUTO_TEST_CASE(requests_that_would_wait_too_long_for_a_slot_are_refused_at_once)
{
    constexpr auto serviceTime = std::chrono::milliseconds(700); // With eight slots and an objective of 200 ms, three requests may wait.
    SingleNodeSite one([&](const auto& it) {
        if (it.head.value("attempt-id") != "first")
            return Fakes::ScriptedResponse { .ending = Fakes::ScriptedResponse::Ending::Hang };
        std::this_thread::sleep_for(serviceTime);
        return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") };
    });
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "first")).head.status == HttpStatus::ok);
    constexpr int clientCount = 24;
    std::vector<std::unique_ptr<RawClient>> callers;
    for (int n = 0; n < clientCount; ++n) {
        callers.push_back(std::make_unique<RawClient>(one.node.callers));
        callers.back()->send(request("GET", "/safe/a", "id-" + std::to_string(n)));
    }
    std::set<std::string> refused;
    for (int n = 0; n < clientCount; ++n) {
        auto answer = callers[static_cast<std::size_t>(n)]->read();
        if (answer.head.status != HttpStatus::serviceUnavailable)
            continue;
        BOOST_TEST(answer.head.find("retry-after"));
        refused.insert("id-" + std::to_string(n));
    }
    // At most about twelve requests are accepted, all slots are used, and no refused request reached the endpoint.
    BOOST_TEST(refused.size() >= 8U);
    BOOST_TEST(refused.size() <= 16U);
    for (const auto& it : one.endpoint.requests())
        BOOST_TEST(!refused.contains(std::string(it.head.value("attempt-id"))));
}

BOOST_AUTO_TEST_CASE(a_refusal_without_not_executed_is_a_bad_gateway)
{
    SingleNodeSite one([](const auto& it) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 503 Busy\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n" };
    });
    BOOST_TEST(one.sendRequest(request("POST", "/once/a", "id-1", "", "x")).head.status == HttpStatus::badGateway);
}

BOOST_AUTO_TEST_CASE(the_memory_for_all_request_bodies_is_bounded)
{
    EntrySite site;
    auto& endpoint = site.addEndpoint("i-1", plainAnswer);
    auto large = EntrySite::declaration(1);
    large["limits"]["maxBodyBytes"] = 20000000;
    site.declare(large);
    // A quarter of the 32 MB may be used for request bodies.
    auto& node = site.startNode("node-1", { { "limits", { { "memoryMegabytes", 32 } } } });
    BOOST_REQUIRE(EntrySite::waitReady(node));
    std::string part(5000000, 'x');
    RawClient first(node.callers);
    first.send(request("POST", "/once/a", "id-1", "Content-Length: 6000000\r\n") + part);
    BOOST_REQUIRE(waitUntil([&] { return EntrySite::ask(node.control, "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n").body.find("onyxnotch_entry_held_bytes 5000000") != std::string::npos; }));
    auto sendSecondBody = [&] { return EntrySite::ask(node.callers, request("POST", "/once/a", "id-2", "Content-Length: 5000000\r\n") + part); };
    BOOST_TEST(sendSecondBody().head.status == HttpStatus::serviceUnavailable);
    first.send(std::string(1000000, 'x'));
    BOOST_TEST(first.read().head.status == HttpStatus::ok);
    BOOST_TEST(waitUntil([&] { return sendSecondBody().head.status == HttpStatus::ok; }));
    BOOST_TEST(endpoint.requests().front().body.size() == 6000000U);
}

BOOST_AUTO_TEST_CASE(a_drain_cuts_no_running_request)
{
    SingleNodeSite one([](const auto& it) { return Fakes::ScriptedResponse { .bytes = streamHead(it) + events(1, 1), .ending = Ending::Hang }; });
    RawClient waiting(one.node.callers);
    waiting.send(request("POST", "/stream/a", "id-1", "Deadline-Ms: 1500\r\n", "x"));
    BOOST_REQUIRE(waiting.readUntil("id: 1"));
    one.endpoint.setScript(plainAnswer);
    one.node.process->signal(SIGTERM);
    BOOST_REQUIRE(one.node.process->waitEvent("stopping", Milliseconds(5000)));
    BOOST_TEST(EntrySite::ask(one.node.readiness, "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n").head.status == HttpStatus::serviceUnavailable);
    // A new request is still served, with a Connection header that makes the client reconnect, so that it reaches another node.
    auto late = one.sendRequest(request("GET", "/safe/a", "id-2"));
    BOOST_TEST(late.head.status == HttpStatus::ok);
    BOOST_TEST(!late.head.keepAlive);
    BOOST_TEST((one.node.process->wait(Milliseconds(8000)) == std::optional<int>(0)));
}

// An endpoint that had drained once was never used again after a restart under the same id.
BOOST_AUTO_TEST_CASE(an_endpoint_that_starts_again_under_its_id_is_used_again)
{
    SingleNodeSite one(plainAnswer);
    auto entry = EntrySite::entryOf(one.endpoint.address(), "draining");
    entry["born"] = 1764720000000U;
    one.site.platform().put("servers", "i-1", entry);
    unsigned count = 0;
    auto status = [&] { return one.sendRequest(request("GET", "/safe/a", "id-" + std::to_string(++count))).head.status; };
    BOOST_TEST(waitUntil([&] { return status() == HttpStatus::serviceUnavailable; }));
    entry["born"] = 1764720009000U;
    entry["state"] = "ready";
    one.site.platform().put("servers", "i-1", entry);
    BOOST_TEST(waitUntil([&] { return status() == HttpStatus::ok; }));
}

BOOST_AUTO_TEST_CASE(a_malformed_entry_removes_only_its_own_endpoint)
{
    SingleNodeSite one(plainAnswer);
    auto& other = one.site.addEndpoint("i-2", plainAnswer);
    unsigned count = 0;
    auto sendRequest = [&] { return one.sendRequest(request("GET", "/safe/a", "id-" + std::to_string(++count))).head.status; };
    BOOST_TEST(waitUntil([&] { return sendRequest() == HttpStatus::ok && !other.requests().empty(); }));
    auto entry = EntrySite::entryOf(other.address(), "ready");
    entry.erase("state");
    one.site.platform().put("servers", "i-2", entry);
    one.site.platform().put("servers", "i-3", "no entry at all");
    // The malformed entry of an unknown endpoint has no effect; the endpoint whose entry became malformed gets no more requests.
    auto receivesNoRequests = [&] {
        auto before = other.requests().size();
        for (int n = 0; n < 20; ++n)
            BOOST_TEST(sendRequest() == HttpStatus::ok);
        return other.requests().size() == before;
    };
    BOOST_TEST(waitUntil(receivesNoRequests));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EntryControl)

BOOST_AUTO_TEST_CASE(a_newer_configuration_comes_into_force_and_an_older_one_never)
{
    SingleNodeSite one(plainAnswer);
    auto next = EntrySite::declaration(5);
    next["routes"][1]["pathPrefix"] = "/new/";
    one.site.declare(next);
    BOOST_TEST(waitUntil([&] { return one.sendRequest(request("GET", "/new/a", "id-1")).head.status == HttpStatus::ok; }, Milliseconds(2000)));
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-2")).head.status == HttpStatus::notFound);
    one.site.declare(EntrySite::declaration(3));
    one.site.list("i-3", { .host = "127.0.0.1", .port = 1 }, "draining");
    BOOST_REQUIRE(one.node.process->waitLine([](const auto& it) { return it.find("\"endpoint\":\"i-3\"") != std::string::npos; }, Milliseconds(10000)));
    BOOST_TEST(one.sendRequest(request("GET", "/new/a", "id-3")).head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(a_node_whose_store_has_no_configuration_gets_it_from_peers)
{
    SingleNodeSite one(plainAnswer);
    Fakes::FakePlatform secondStore;
    secondStore.put("servers", "i-1", EntrySite::entryOf(one.endpoint.address(), "ready"));
    // The second node's store has no configuration.
    auto& second = one.site.startNode("node-2", { { "store", secondStore.address().text() }, { "gossipPort", 0 }, { "seeds", Json::array() } });
    BOOST_TEST(EntrySite::ask(second.callers, request("GET", "/safe/a", "id-1")).head.status == HttpStatus::serviceUnavailable);
    // The second node finds the first one through its store, as at a start without seeds.
    secondStore.put("onyxnotch-nodes", "node-1", { { "gossip", one.node.gossip.text() }, { "lifetime", 1 } });
    BOOST_TEST(EntrySite::waitReady(second));
    BOOST_TEST(EntrySite::ask(second.callers, request("GET", "/safe/a", "id-2")).head.status == HttpStatus::ok);
}

// After a power failure of all nodes, a node that the store refused got the configuration from its peers, but no endpoints for 5 s.
BOOST_AUTO_TEST_CASE(a_node_that_never_reached_the_store_gets_endpoints_from_peers)
{
    SingleNodeSite one(plainAnswer);
    Fakes::FakePlatform secondStore;
    secondStore.setDown(true);
    auto& second = one.site.startNode("node-2", { { "store", secondStore.address().text() } });
    // The first node knows no peers yet, and finds the address of the second one in its own store.
    one.site.platform().put("onyxnotch-nodes", "node-2", { { "gossip", second.gossip.text() }, { "lifetime", 1 } });
    BOOST_TEST(EntrySite::waitReady(second));
    BOOST_TEST(EntrySite::ask(second.callers, request("GET", "/safe/a", "id-1")).head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(usage_is_reported_once_for_each_window_under_a_fence)
{
    SingleNodeSite one(plainAnswer);
    one.site.startNode("node-2", { { "duties", { "metering" } } });
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-" + std::to_string(n))).head.status == HttpStatus::ok);
    BOOST_TEST(waitUntil([&] {
        std::uint64_t total = 0;
        for (const auto& it : one.site.platform().cloudCalls("/usage"))
            total += it.body["counts"].value("team-a", 0);
        return total >= 20;
    }));
    std::map<std::uint64_t, Json> reported;
    for (const auto& it : one.site.platform().cloudCalls("/usage")) {
        BOOST_TEST(it.holder == "node-2");
        BOOST_TEST(it.fence >= 1U);
        auto [known, added] = reported.emplace(it.body["windowId"].get<std::uint64_t>(), it.body["counts"]);
        BOOST_TEST((added || known->second == it.body["counts"]));
    }
}

BOOST_AUTO_TEST_CASE(changed_settings_are_applied_and_invalid_ones_are_not)
{
    EntrySite site;
    site.declare(EntrySite::declaration(1));
    site.addEndpoint("i-1", plainAnswer);
    auto& node = site.startNode("node-1", { { "logLevel", "info" } });
    BOOST_REQUIRE(EntrySite::waitReady(node));
    site.writeSettings("node-1", { { "graceSeconds", "soon" } });
    node.process->signal(SIGHUP);
    BOOST_TEST(node.process->waitEvent("settings_refused", Milliseconds(5000)).has_value());
    // With a grace time of 1 s the node cuts an unfinished request well before the 6 s that it started with.
    site.writeSettings("node-1", { { "graceSeconds", 1 } });
    BOOST_TEST(node.process->waitEvent("settings_applied", Milliseconds(12000)).has_value());
    RawClient waiting(node.callers);
    waiting.send("GET /safe/");
    auto before = steadyNow();
    node.process->signal(SIGTERM);
    BOOST_TEST((node.process->wait(Milliseconds(8000)) == std::optional<int>(0)));
    BOOST_TEST(toMilliseconds(steadyNow() - before).count() < 3000);
}

BOOST_AUTO_TEST_CASE(endpoints_stay_in_use_while_the_store_is_unreachable)
{
    SingleNodeSite one(plainAnswer);
    one.site.platform().setDown(true);
    BOOST_REQUIRE(one.node.process->waitEvent("store_lost", Milliseconds(15000)));
    BOOST_TEST(one.sendRequest(request("GET", "/safe/a", "id-1")).head.status == HttpStatus::ok);
    one.site.platform().setDown(false);
    BOOST_TEST(one.node.process->waitEvent("store_regained", Milliseconds(15000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
