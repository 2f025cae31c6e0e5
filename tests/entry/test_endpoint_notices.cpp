// The first story: while the store answered nobody, an endpoint that was about to leave could not say so there, and said it in its
// answers. The nodes that passed those answers on went on sending to it for as long as the store was away, 2.6 and 3.9 seconds and more.
// The cause: an answer was read for what concerns its request; that an endpoint leaves was taken from the store's list alone. The
// evidence: requests went on at their usual rate from all nodes, chosen as the home of their prompts, and no revision of the list lay
// between; with the store well and the entry still "ready" it is the same.
//
// The second story: endpoints turned every request away, with the time for which they wanted nothing; the nodes sent on, up to eight
// requests a second each, and callers were refused although other endpoints had room. The cause: a refusal that did not run left no trace
// at its endpoint. And it attracted: who refuses within a millisecond has nothing in flight, and is chosen again as the least busy one or
// the home of the prompt. The evidence: with two idle endpoints beside it, it got every one of 12,408 requests, each of which went to it
// first, until the retry budget was used up; without a time in its answers it is the same.
#include "tests/entry/notice_site.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

BOOST_AUTO_TEST_SUITE(EndpointsThatSayThatTheyLeave)

BOOST_AUTO_TEST_CASE(nothing_new_goes_there_while_the_store_is_silent)
{
    NoticeSite it;
    it.site.platform().setHeld(true);
    checkLeft(it, it.hear(answering(leaves)));
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(nor_while_the_store_turns_the_node_away)
{
    NoticeSite it;
    it.site.platform().setDown(true);
    checkLeft(it, it.hear(answering(leaves)));
}

BOOST_AUTO_TEST_CASE(nor_while_the_store_lists_it_as_ready)
{
    NoticeSite it;
    checkLeft(it, it.hear(answering(leaves)));
}

BOOST_AUTO_TEST_CASE(a_failure_and_a_refusal_say_it_as_well)
{
    for (int status : { 500, 503 }) {
        NoticeSite it;
        checkLeft(it, it.hear([status](const Fakes::ReceivedRequest& got) {
            auto refusal = turnAway(got, leaves);
            auto failure = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(got.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\n" + leaves + "Content-Length: 0\r\n\r\n";
            return Fakes::ScriptedAnswer { .bytes = status == 500 ? failure : refusal };
        }));
    }
}

// A stream may run for many seconds after its head. Each endpoint holds one, so that none is less busy than the one that leaves.
BOOST_AUTO_TEST_CASE(it_counts_from_the_head_of_an_answer_that_still_runs)
{
    NoticeSite it;
    int chosen = it.favourite();
    for (int n = 0; n < endpoints; ++n)
        it.stands[n]->setScript(streamThatHangs(n == chosen ? leaves : ""));
    std::vector<std::unique_ptr<RawCaller>> streaming;
    for (int n = 0; n < endpoints; ++n) {
        streaming.push_back(std::make_unique<RawCaller>(it.nodes[0]->callers));
        streaming.back()->send(request("GET", "/stream/a", "id-stream" + std::to_string(n)));
        BOOST_REQUIRE(streaming.back()->readUntil("data: abc"));
    }
    for (auto* stand : it.stands)
        stand->setScript(answering(""));
    checkLeft(it, chosen);
}

// The answer to an earlier request may come where the next one is due; its endpoint says the same of itself.
BOOST_AUTO_TEST_CASE(an_extra_answer_says_it_as_well)
{
    NoticeSite it;
    int chosen = it.hear([](const Fakes::ReceivedRequest& got) {
        return Fakes::ScriptedAnswer { .bytes = "HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Stamp: stamp-1\r\n" + std::string(leaves) + "Content-Length: 0\r\n\r\n" + answerTo(got, "hello") };
    });
    checkLeft(it, chosen);
}

// State that is kept with an entry goes with it: a lapse of the store takes entries away, and they come back.
BOOST_AUTO_TEST_CASE(it_holds_over_a_lapse_of_the_entry)
{
    NoticeSite it;
    int chosen = it.hear(answering(leaves));
    it.lapse(chosen);
    checkLeft(it, chosen);
}

BOOST_AUTO_TEST_CASE(a_new_life_is_used_again)
{
    NoticeSite it;
    int chosen = it.hear(answering(leaves));
    checkLeft(it, chosen);
    it.stands[chosen]->setScript(answering(""));
    auto entry = EntrySite::entryOf(it.stands[chosen]->address(), "ready");
    entry["born"] = 1;
    it.site.platform().put("servers", NoticeSite::idOf(chosen), entry);
    auto before = it.reached(chosen);
    BOOST_TEST(waitUntil([&] {
        it.ask();
        return it.reached(chosen) > before;
    }));
}

BOOST_AUTO_TEST_CASE(the_other_nodes_are_told)
{
    NoticeSite it(2);
    it.site.platform().setHeld(true);
    int chosen = it.hear(answering(leaves));
    BOOST_TEST(it.leavesAlone(1, chosen));
    it.site.platform().setHeld(false);
}

// The store turns one node away and serves the other: each knows what the other has heard.
BOOST_AUTO_TEST_CASE(a_node_that_the_store_turns_away_hears_and_tells_it)
{
    for (std::size_t hearing : { 0U, 1U }) {
        NoticeSite it;
        Fakes::PlatformStandIn store;
        it.copyStore(store);
        it.nodes.push_back(&it.site.startNode("node-2", { { "store", store.address().text() } }));
        BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[1]));
        store.setDown(true);
        int chosen = it.hear(answering(leaves), "/safe/a", hearing);
        BOOST_TEST(it.leavesAlone(hearing, chosen));
        BOOST_TEST(it.leavesAlone(1 - hearing, chosen));
    }
}

// Its entry names another address; the life is the same. That the node has read it is seen by the entry after it.
BOOST_AUTO_TEST_CASE(it_holds_over_a_change_of_address)
{
    constexpr int next = endpoints;
    NoticeSite it;
    int chosen = it.hear(answering(leaves));
    auto& moved = it.site.addEndpoint(NoticeSite::idOf(chosen), answering(""));
    it.site.list(NoticeSite::idOf(next), moved.address(), "draining");
    BOOST_REQUIRE(waitUntil([&] { return it.linesOf("endpoint_listed", next) == 1; }));
    checkLeft(it, chosen);
    BOOST_TEST(moved.requests().empty());
}

// Later than the marks are told by themselves.
BOOST_AUTO_TEST_CASE(a_node_that_starts_later_is_told)
{
    constexpr Milliseconds later { 6000 };
    NoticeSite it(2);
    auto heardAt = steadyNow();
    int chosen = it.hear(answering(leaves));
    waitUntil([&] { return steadyNow() - heardAt >= later; }, later * 2);
    // What the new node reads by itself knows nothing of it.
    Fakes::PlatformStandIn store;
    it.copyStore(store);
    it.nodes.push_back(&it.site.startNode("node-3", { { "store", store.address().text() } }));
    BOOST_REQUIRE(EntrySite::waitReady(*it.nodes[2]));
    BOOST_TEST(it.leavesAlone(2, chosen));
}

BOOST_AUTO_TEST_CASE(where_all_leave_callers_hear_at_once_that_nothing_ran)
{
    NoticeSite it;
    for (auto* stand : it.stands)
        stand->setScript(answering(leaves));
    for (int n = 0; n < endpoints; ++n)
        BOOST_TEST(it.ask().head.status == HttpStatus::ok);
    auto askedAt = steadyNow();
    auto refused = it.ask();
    BOOST_TEST((steadyNow() - askedAt < Milliseconds(500)));
    BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(refused.head.find("retry-after"));
    for (int n = 0; n < endpoints; ++n)
        BOOST_TEST(it.reached(n) == 1U);
}

BOOST_AUTO_TEST_CASE(other_values_say_nothing)
{
    NoticeSite it;
    int chosen = it.hear(answering("Server-Leaving: 0\r\n"));
    auto before = it.reached(chosen);
    it.ask();
    BOOST_TEST(it.reached(chosen) == before + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointsThatAskForRest)

namespace {

// Asks through the first node until `duration` is over, and returns how many answers were not good.
int askFor(NoticeSite& it, Milliseconds duration)
{
    int bad = 0;
    auto until = steadyNow() + duration;
    while (steadyNow() < until)
        bad += it.ask().head.status == HttpStatus::ok ? 0 : 1;
    return bad;
}

} // namespace

BOOST_AUTO_TEST_CASE(they_get_nothing_for_so_long_and_callers_are_served_elsewhere)
{
    NoticeSite it;
    int chosen = it.hear(turningAway("Retry-After: 1.5\r\n"));
    auto before = it.reached(chosen);
    it.stands[chosen]->setScript(answering(""));
    BOOST_TEST(askFor(it, Milliseconds(1300)) == 0);
    BOOST_TEST(it.reached(chosen) == before);
    BOOST_TEST(waitUntil([&] {
        it.ask();
        return it.reached(chosen) > before;
    }));
}

BOOST_AUTO_TEST_CASE(of_several_times_the_longest_holds)
{
    NoticeSite it;
    int chosen = it.hear(turningAway("Retry-After: 0.1\r\nRetry-After: 2\r\nRetry-After: 0.2\r\n"));
    auto before = it.reached(chosen);
    BOOST_TEST(askFor(it, Milliseconds(1000)) == 0);
    BOOST_TEST(it.reached(chosen) == before);
}

BOOST_AUTO_TEST_CASE(it_holds_where_nothing_says_that_the_request_has_not_run)
{
    NoticeSite it;
    int chosen = it.hear([](const Fakes::ReceivedRequest& got) { return Fakes::ScriptedAnswer { .bytes = turnAway(got, "Retry-After: 2\r\n", false) }; });
    auto before = it.reached(chosen);
    BOOST_TEST(askFor(it, Milliseconds(1000)) == 0);
    BOOST_TEST(it.reached(chosen) == before);
}

BOOST_AUTO_TEST_CASE(it_holds_over_a_lapse_of_the_entry)
{
    NoticeSite it;
    int chosen = it.hear(turningAway("Retry-After: 30\r\n"));
    it.lapse(chosen);
    checkLeft(it, chosen);
}

BOOST_AUTO_TEST_CASE(a_request_that_was_turned_away_costs_none_of_its_route_s_tries)
{
    NoticeSite it;
    int chosen = it.favourite();
    it.stands[chosen]->setScript(turningAway("Retry-After: 2\r\n"));
    // One try is all that the route allows; the endpoint has not made it.
    BOOST_TEST(it.ask(0, "/once/a").head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(the_other_nodes_may_go_on)
{
    NoticeSite it(2);
    int chosen = it.hear(turningAway("Retry-After: 30\r\n"));
    it.stands[chosen]->setScript(answering(""));
    auto before = it.reached(chosen);
    BOOST_TEST(it.askGood(5, 1) == 5);
    BOOST_TEST(it.reached(chosen) > before);
}

BOOST_AUTO_TEST_CASE(where_all_rest_callers_hear_at_once_when_the_first_is_back)
{
    NoticeSite it;
    it.site.platform().setHeld(true);
    int seconds = 20;
    for (auto* stand : it.stands) {
        stand->setScript(turningAway("Retry-After: " + std::to_string(seconds) + "\r\n"));
        seconds += 20;
    }
    for (int n = 0; n < endpoints; ++n)
        it.ask();
    auto before = it.counts();
    for (int n = 0; n < 10; ++n) {
        auto askedAt = steadyNow();
        auto refused = it.ask();
        BOOST_TEST((steadyNow() - askedAt < Milliseconds(500)));
        BOOST_TEST(refused.head.status == HttpStatus::serviceUnavailable);
        auto told = std::stod("0" + std::string(refused.head.value("retry-after")));
        BOOST_TEST(told > 10);
        BOOST_TEST(told < 40);
    }
    BOOST_TEST((it.counts() == before));
    it.site.platform().setHeld(false);
}

BOOST_AUTO_TEST_CASE(no_value_stops_the_node)
{
    for (const auto* value : { "-1", "soon", "", "Thu, 03 Dec 2026 10:00:00 GMT", "nan", "99999999999999999999999" }) {
        NoticeSite it;
        it.hear(turningAway("Retry-After: " + std::string(value) + "\r\n"));
        BOOST_TEST(it.askGood(10) == 10);
    }
}

BOOST_AUTO_TEST_SUITE_END()
