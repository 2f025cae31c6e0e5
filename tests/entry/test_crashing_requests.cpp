// The story: callers sent a request under which every model engine crashed within 150 ms of beginning to run it, and sent it again as
// soon as the answer was lost, to any node. Of 18 engines 21, 34 and 38 ended in three waves of some fifteen seconds, and what ran beside
// them broke; a request that had ended three endpoints reached 18 and 21 more. The cause: a try that ended with its endpoint was held
// against the endpoint alone. No node remembered the request once its answer was written, and none told another.
//
// The evidence: of the tries that broke, those with the same team, path and body stand at the end of every endpoint, in the logs of all
// nodes; the tries beside them are different ones each time.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;
using Ending = Fakes::ScriptedAnswer::Ending;

namespace {

constexpr int endpoints = 24;
constexpr unsigned endedUntilKnown = 3; // So many endpoints may end before a request is known to end them.
// Within which every node that is in touch with the others has to know: the time that the platform gives for news to spread.
constexpr Milliseconds spreadTime { 3000 };
constexpr unsigned allowedAfterwards = 3; // Tries, over all nodes, from then on.
constexpr auto crashingBody = "a prompt that no engine survives";

Fakes::ScriptedAnswer endpointAnswer(const Fakes::ReceivedRequest& it)
{
    if (it.body == crashingBody)
        return { .ending = Ending::Crash };
    return { .bytes = answerTo(it, "hello") };
}

// Nodes before endpoints that crash under one request.
struct CrashingSite {
    explicit CrashingSite(int nodeCount)
    {
        site.declare(EntrySite::declaration(1));
        for (int n = 0; n < endpoints; ++n)
            stands.push_back(&site.addEndpoint("i-" + std::to_string(n), endpointAnswer));
        for (int n = 0; n < nodeCount; ++n)
            startNode();
    }

    EntryProcess& startNode()
    {
        auto& node = site.startNode("node-" + std::to_string(++started));
        BOOST_REQUIRE(EntrySite::waitReady(node));
        nodes.push_back(&node);
        return node;
    }

    unsigned ended() const
    {
        return static_cast<unsigned>(std::count_if(stands.begin(), stands.end(), [](const auto* it) { return it->isStopped(); }));
    }

    // How often the request reached any endpoint.
    unsigned reached() const
    {
        unsigned count = 0;
        for (const auto* stand : stands) {
            for (const auto& it : stand->requests())
                count += it.body == crashingBody ? 1 : 0;
        }
        return count;
    }

    RawCaller::Answer askCrashing(const EntryProcess& node, const std::string& path = "/safe/a")
    {
        auto answer = EntrySite::ask(node.callers, request("POST", path, "id-" + std::to_string(++ids), "", crashingBody));
        removeEnded();
        return answer;
    }

    // An endpoint that crashed writes nothing any more, and its entry goes.
    void removeEnded()
    {
        for (std::size_t n = 0; n < stands.size(); ++n) {
            if (stands[n]->isStopped() && removed.insert(n).second)
                site.platform().remove("servers", "i-" + std::to_string(n));
        }
    }

    RawCaller::Answer askOther(const EntryProcess& node)
    {
        auto id = "id-" + std::to_string(++ids);
        return EntrySite::ask(node.callers, request("POST", "/safe/a", id, "", "a body of its own: " + id));
    }

    // Lets the request end as many endpoints as it takes, through all nodes in turn, and the news spread.
    void letItBeKnown()
    {
        for (std::size_t n = 0; ended() < endedUntilKnown && n < endpoints; ++n)
            askCrashing(*nodes[n % nodes.size()]);
        auto knownAt = steadyNow();
        waitUntil([&] { return steadyNow() - knownAt >= spreadTime; }, spreadTime * 2);
    }

    void askEverywhere(int times)
    {
        for (int n = 0; n < times; ++n) {
            for (auto* it : nodes)
                askCrashing(*it);
        }
    }

    EntrySite site {};
    std::vector<Fakes::ScriptedEndpoint*> stands {};
    std::vector<EntryProcess*> nodes {};
    std::set<std::size_t> removed {};
    int started { 0 };
    int ids { 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequests)

// Before: after the first four tries 15 repeats led to 10 more, each of which ended an endpoint, and others were refused for want of one.
// After: none.
BOOST_AUTO_TEST_CASE(a_request_that_ended_three_endpoints_is_not_sent_on_and_the_others_are_served)
{
    CrashingSite crashing(3);
    crashing.letItBeKnown();
    auto before = crashing.reached();
    crashing.askEverywhere(5);
    BOOST_TEST(crashing.reached() - before <= allowedAfterwards);
    for (auto* it : crashing.nodes)
        BOOST_TEST(crashing.askOther(*it).head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(its_caller_hears_at_once_that_it_has_not_run)
{
    CrashingSite crashing(1);
    crashing.letItBeKnown();
    auto asked = steadyNow();
    auto answer = crashing.askCrashing(*crashing.nodes[0], "/once/a");
    // Another path is another request: this one may still run.
    BOOST_TEST(answer.head.status != HttpStatus::serviceUnavailable);
    asked = steadyNow();
    answer = crashing.askCrashing(*crashing.nodes[0]);
    BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(!answer.head.value("retry-after").empty());
    BOOST_TEST(toMilliseconds(steadyNow() - asked).count() < 200);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_knows_it)
{
    CrashingSite crashing(2);
    crashing.letItBeKnown();
    auto& late = crashing.startNode();
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt >= spreadTime; }, spreadTime * 2);
    auto before = crashing.reached();
    for (int n = 0; n < 5; ++n)
        crashing.askCrashing(late);
    BOOST_TEST(crashing.reached() - before <= allowedAfterwards);
}

BOOST_AUTO_TEST_CASE(it_is_known_after_all_nodes_were_killed)
{
    CrashingSite crashing(3);
    crashing.letItBeKnown();
    for (auto* it : crashing.nodes)
        it->process->signal(SIGKILL);
    crashing.nodes.clear();
    for (int n = 0; n < 3; ++n)
        crashing.startNode();
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt >= spreadTime; }, spreadTime * 2);
    auto before = crashing.reached();
    crashing.askEverywhere(5);
    BOOST_TEST(crashing.reached() - before <= allowedAfterwards);
}

BOOST_AUTO_TEST_SUITE_END()
