// Endpoints that announce in their answers that they drain (Server-Leaving) or want a backoff (Retry-After) must get no new requests.
//
// First failure: while the store was unreachable, a draining endpoint could not update its entry and announced the drain in its answers.
// Nodes forwarded these answers but kept sending to the endpoint until the store was back, 2.6 s, 3.9 s and longer. The cause: nodes took
// the draining state from the store's list alone, and used an answer only for its own request. All nodes kept sending at the usual rate,
// because the endpoint was the preferred one for the prompts, and the revision of the list did not change. The same happened with a working
// store as long as the entry said "ready".
//
// Second failure: endpoints refused every request with a Retry-After time, but nodes kept sending up to eight requests per second each, and
// clients were refused although other endpoints had capacity. The cause: a refused, not executed request was not recorded for its endpoint.
// Refusing within a millisecond even made the endpoint attractive, because nothing was in flight there, so that it was chosen as the least
// busy one or as the preferred one for the prompt. With two idle endpoints beside it, the refusing one was the first choice
// for all of 12,408 requests, until the retry budget was used up. The same happened without a time in the answers.
#include "tests/entry/notice_site.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

BOOST_AUTO_TEST_SUITE(EndpointsThatSayThatTheyLeave)

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_requests_while_the_store_does_not_answer)
{
    NoticeSite it;
    it.site.platform().setHeld(true);
    checkNotUsed(it, it.letPreferredAnswer(answerWith(drainingField)));
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_requests_while_the_store_refuses_calls)
{
    NoticeSite it;
    it.site.platform().setDown(true);
    checkNotUsed(it, it.letPreferredAnswer(answerWith(drainingField)));
}

BOOST_AUTO_TEST_CASE(a_draining_endpoint_gets_no_requests_while_the_store_lists_it_as_ready)
{
    NoticeSite it;
    checkNotUsed(it, it.letPreferredAnswer(answerWith(drainingField)));
}

BOOST_AUTO_TEST_CASE(draining_is_read_from_failures_and_refusals)
{
    for (int status : { 500, 503 }) {
        NoticeSite it;
        checkNotUsed(it, it.letPreferredAnswer([status](const Fakes::ReceivedRequest& received) {
            auto refusal = refusalAnswer(received, drainingField);
            auto failure = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(received.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + drainingField + "Content-Length: 0\r\n\r\n";
            return Fakes::ScriptedResponse { .bytes = status == 500 ? failure : refusal };
        }));
    }
}

// The body of a stream may take many seconds after its head. Each endpoint runs one stream, so that all are equally busy.
BOOST_AUTO_TEST_CASE(draining_takes_effect_before_the_body_of_the_answer_ends)
{
    NoticeSite it;
    int chosen = it.preferredEndpoint();
    for (int n = 0; n < endpointCount; ++n)
        it.endpointServers[n]->setScript(hangingStreamWith(n == chosen ? drainingField : ""));
    std::vector<std::unique_ptr<RawClient>> streaming;
    for (int n = 0; n < endpointCount; ++n) {
        streaming.push_back(std::make_unique<RawClient>(it.nodes[0]->callers));
        streaming.back()->send(request("GET", "/stream/a", "id-stream" + std::to_string(n)));
        BOOST_REQUIRE(streaming.back()->readUntil("data: abc"));
    }
    for (auto* endpointServer : it.endpointServers)
        endpointServer->setScript(answerWith(""));
    checkNotUsed(it, chosen);
}

// On a reused connection a late answer to an earlier request may arrive before the expected one. Its field is valid for the endpoint too.
BOOST_AUTO_TEST_CASE(draining_is_read_from_an_unmatched_answer)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer([](const Fakes::ReceivedRequest& received) {
        return Fakes::ScriptedResponse { .bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: stamp-1\r\n" + std::string(drainingField) + "Content-Length: 0\r\n\r\n" + answerTo(received, "hello") };
    });
    checkNotUsed(it, chosen);
}

// The draining state must not be stored with the entry: the store may lose entries for a short time and list them again.
BOOST_AUTO_TEST_CASE(draining_survives_a_removed_and_restored_entry)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(answerWith(drainingField));
    it.removeAndRestoreEntry(chosen);
    checkNotUsed(it, chosen);
}

BOOST_AUTO_TEST_CASE(a_new_incarnation_is_used_again)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(answerWith(drainingField));
    checkNotUsed(it, chosen);
    it.endpointServers[chosen]->setScript(answerWith(""));
    auto entry = EntrySite::entryOf(it.endpointServers[chosen]->address(), "ready");
    entry["born"] = 1;
    it.site.platform().put("servers", NoticeSite::idOf(chosen), entry);
    auto before = it.requestCount(chosen);
    BOOST_TEST(waitUntil([&] {
        it.sendRequest();
        return it.requestCount(chosen) > before;
    }));
}

BOOST_AUTO_TEST_CASE(the_other_nodes_are_informed)
{
    NoticeSite it(2);
    it.site.platform().setHeld(true);
    int chosen = it.letPreferredAnswer(answerWith(drainingField));
    BOOST_TEST(it.stopsSendingTo(1, chosen));
    it.site.platform().setHeld(false);
}

// The store refuses the calls of one node and serves the other. Each node must learn of the drain even if only the other one received the
// answer.
BOOST_AUTO_TEST_CASE(a_node_that_the_store_refuses_sends_and_receives_the_draining_state)
{
    for (std::size_t receivingNode : { 0U, 1U }) {
        NoticeSite it;
        Fakes::FakePlatform store;
        it.copyStoreTo(store);
        it.nodes.push_back(&it.site.startNode("node-2", { { "store", store.address().text() } }));
        BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[1]));
        store.setDown(true);
        int chosen = it.letPreferredAnswer(answerWith(drainingField), "/safe/a", receivingNode);
        BOOST_TEST(it.stopsSendingTo(receivingNode, chosen));
        BOOST_TEST(it.stopsSendingTo(1 - receivingNode, chosen));
    }
}

// The entry gets another address for the same incarnation. An entry of another endpoint is written after it: once the node has logged that
// one, it has read both.
BOOST_AUTO_TEST_CASE(draining_survives_a_change_of_address)
{
    constexpr int newEndpoint = endpointCount;
    NoticeSite it;
    int chosen = it.letPreferredAnswer(answerWith(drainingField));
    auto& moved = it.site.addEndpoint(NoticeSite::idOf(chosen), answerWith(""));
    it.site.list(NoticeSite::idOf(newEndpoint), moved.address(), "draining");
    BOOST_REQUIRE(waitUntil([&] { return it.countLogLines("endpoint_listed", newEndpoint) == 1; }));
    checkNotUsed(it, chosen);
    BOOST_TEST(moved.requests().empty());
}

// The new node starts when the others have stopped repeating the draining state, so that they have to send it because of the start.
BOOST_AUTO_TEST_CASE(a_node_that_starts_later_is_informed)
{
    constexpr Milliseconds startDelay { 6000 };
    NoticeSite it(2);
    auto sentAt = steadyNow();
    int chosen = it.letPreferredAnswer(answerWith(drainingField));
    waitUntil([&] { return steadyNow() - sentAt >= startDelay; }, startDelay * 2);
    // The new node uses a separate store, which does not contain the draining state.
    Fakes::FakePlatform store;
    it.copyStoreTo(store);
    it.nodes.push_back(&it.site.startNode("node-3", { { "store", store.address().text() } }));
    BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[2]));
    BOOST_TEST(it.stopsSendingTo(2, chosen));
}

BOOST_AUTO_TEST_CASE(if_all_endpoints_drain_clients_are_refused_at_once)
{
    NoticeSite it;
    for (auto* endpointServer : it.endpointServers)
        endpointServer->setScript(answerWith(drainingField));
    for (int n = 0; n < endpointCount; ++n)
        BOOST_TEST(it.sendRequest().head.status == HttpStatus::ok);
    auto askedAt = steadyNow();
    auto refused = it.sendRequest();
    BOOST_TEST((steadyNow() - askedAt < Milliseconds(500)));
    BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(refused.head.find("retry-after"));
    for (int n = 0; n < endpointCount; ++n)
        BOOST_TEST(it.requestCount(n) == 1U);
}

BOOST_AUTO_TEST_CASE(other_values_of_the_field_are_ignored)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(answerWith("Server-Leaving: 0\r\n"));
    auto before = it.requestCount(chosen);
    it.sendRequest();
    BOOST_TEST(it.requestCount(chosen) == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointsThatAskForRest)

namespace {

// Sends requests through the first node for `duration` and returns how many were not answered with status 200.
int countBadAnswers(NoticeSite& it, Milliseconds duration)
{
    int badAnswers = 0;
    auto end = steadyNow() + duration;
    while (steadyNow() < end)
        badAnswers += it.sendRequest().head.status == HttpStatus::ok ? 0 : 1;
    return badAnswers;
}

} // namespace

BOOST_AUTO_TEST_CASE(no_requests_are_sent_during_the_backoff_and_others_serve_the_clients)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(refuseWith("Retry-After: 1.5\r\n"));
    auto before = it.requestCount(chosen);
    it.endpointServers[chosen]->setScript(answerWith(""));
    BOOST_TEST(countBadAnswers(it, Milliseconds(1300)) == 0);
    BOOST_TEST(it.requestCount(chosen) == before);
    BOOST_TEST(waitUntil([&] {
        it.sendRequest();
        return it.requestCount(chosen) > before;
    }));
}

BOOST_AUTO_TEST_CASE(the_longest_of_several_backoffs_applies)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(refuseWith("Retry-After: 0.1\r\nRetry-After: 2\r\nRetry-After: 0.2\r\n"));
    auto before = it.requestCount(chosen);
    BOOST_TEST(countBadAnswers(it, Milliseconds(1000)) == 0);
    BOOST_TEST(it.requestCount(chosen) == before);
}

BOOST_AUTO_TEST_CASE(the_backoff_applies_without_the_not_executed_field)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer([](const Fakes::ReceivedRequest& received) { return Fakes::ScriptedResponse { .bytes = refusalAnswer(received, "Retry-After: 2\r\n", false) }; });
    auto before = it.requestCount(chosen);
    BOOST_TEST(countBadAnswers(it, Milliseconds(1000)) == 0);
    BOOST_TEST(it.requestCount(chosen) == before);
}

BOOST_AUTO_TEST_CASE(the_backoff_survives_a_removed_and_restored_entry)
{
    NoticeSite it;
    int chosen = it.letPreferredAnswer(refuseWith("Retry-After: 30\r\n"));
    it.removeAndRestoreEntry(chosen);
    checkNotUsed(it, chosen);
}

BOOST_AUTO_TEST_CASE(a_refused_request_uses_none_of_the_attempts_of_its_route)
{
    NoticeSite it;
    int chosen = it.preferredEndpoint();
    it.endpointServers[chosen]->setScript(refuseWith("Retry-After: 2\r\n"));
    // The route allows one attempt. The refused one was not executed and does not count.
    BOOST_TEST(it.sendRequest(0, "/once/a").head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(the_backoff_applies_to_one_node_only)
{
    NoticeSite it(2);
    int chosen = it.letPreferredAnswer(refuseWith("Retry-After: 30\r\n"));
    it.endpointServers[chosen]->setScript(answerWith(""));
    auto before = it.requestCount(chosen);
    BOOST_TEST(it.countGoodAnswers(5, 1) == 5);
    BOOST_TEST(it.requestCount(chosen) > before);
}

BOOST_AUTO_TEST_CASE(if_all_endpoints_back_off_clients_get_the_shortest_wait_at_once)
{
    NoticeSite it;
    it.site.platform().setHeld(true);
    int seconds = 20;
    for (auto* endpointServer : it.endpointServers) {
        endpointServer->setScript(refuseWith("Retry-After: " + std::to_string(seconds) + "\r\n"));
        seconds += 20;
    }
    for (int n = 0; n < endpointCount; ++n)
        it.sendRequest();
    auto before = it.requestCounts();
    for (int n = 0; n < 10; ++n) {
        auto askedAt = steadyNow();
        auto refused = it.sendRequest();
        BOOST_TEST((steadyNow() - askedAt < Milliseconds(500)));
        BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
        auto retryAfter = std::stod("0" + std::string(refused.head.value("retry-after")));
        BOOST_TEST(retryAfter > 10);
        BOOST_TEST(retryAfter < 40);
    }
    BOOST_TEST((it.requestCounts() == before));
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(invalid_backoffs_do_not_stop_requests)
{
    for (const auto* value : { "-1", "soon", "", "Thu, 03 Dec 2026 10:00:00 GMT", "nan", "99999999999999999999999" }) {
        NoticeSite it;
        it.letPreferredAnswer(refuseWith("Retry-After: " + std::string(value) + "\r\n"));
        BOOST_TEST(it.countGoodAnswers(10) == 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
