// Requests that crash every endpoint that runs them must be blocked by all nodes.
//
// The failure: clients sent a request that crashed every model engine within 150 ms of starting it, and repeated it through any node as
// soon as the answer was lost. In a service of 18 engines there were 21, 34 and 38 crashes in three waves of about 15 s, and other requests
// at the same engines failed too. A request that had already crashed three endpoints was sent to 18 and 21 more.
//
// The cause: the failed attempt was attributed to the endpoint alone. No node remembered the request after answering it, and nodes did not
// inform each other. The logs of all nodes show failed attempts with the same team, path and body at the crash of every endpoint, while the
// other failed attempts differ from crash to crash.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <set>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;
using Ending = Fakes::ScriptedResponse::Ending;

namespace {

constexpr int endpointCount = 24;
constexpr unsigned crashesUntilBlocked = 3; // Crashed endpoints after which a request must be blocked.
// Maximum time until all connected nodes know a blocked request: the limit that the platform sets for propagation between nodes.
constexpr Milliseconds propagationTime { 3000 };
constexpr unsigned maximumLateAttempts = 3; // Attempts that may still reach an endpoint afterwards, over all nodes.
constexpr auto crashingBody = "a prompt that no engine survives";

Fakes::ScriptedResponse endpointAnswer(const Fakes::ReceivedRequest& it)
{
    if (it.body == crashingBody)
        return { .ending = Ending::Crash };
    return { .bytes = answerTo(it, "hello") };
}

// Nodes that forward to 24 endpoints, each of which crashes when it receives the crashing request.
struct CrashingSite {
    explicit CrashingSite(int nodeCount)
    {
        site.declare(EntrySite::declaration(1));
        for (int n = 0; n < endpointCount; ++n)
            endpointServers.push_back(&site.addEndpoint("i-" + std::to_string(n), endpointAnswer));
        for (int n = 0; n < nodeCount; ++n)
            startNode();
    }

    EntryProcess& startNode()
    {
        auto& node = site.startNode("node-" + std::to_string(++startedNodes));
        BOOST_REQUIRE(EntrySite::waitReady(node));
        nodes.push_back(&node);
        return node;
    }

    unsigned crashedEndpoints() const
    {
        return static_cast<unsigned>(std::count_if(endpointServers.begin(), endpointServers.end(), [](const auto* it) { return it->isStopped(); }));
    }

    // How many times the crashing request reached an endpoint.
    unsigned crashingAttempts() const
    {
        unsigned count = 0;
        for (const auto* endpointServer : endpointServers) {
            for (const auto& it : endpointServer->requests())
                count += it.body == crashingBody ? 1 : 0;
        }
        return count;
    }

    RawClient::Answer sendCrashingRequest(const EntryProcess& node, const std::string& path = "/safe/a")
    {
        auto answer = EntrySite::ask(node.callers, request("POST", path, "id-" + std::to_string(++lastRequestNumber), "", crashingBody));
        removeCrashedEntries();
        return answer;
    }

    // Removes the entries of crashed endpoints from the store, since these can no longer update them.
    void removeCrashedEntries()
    {
        for (std::size_t n = 0; n < endpointServers.size(); ++n) {
            if (endpointServers[n]->isStopped() && removed.insert(n).second)
                site.platform().remove("servers", "i-" + std::to_string(n));
        }
    }

    RawClient::Answer sendOtherRequest(const EntryProcess& node)
    {
        auto id = "id-" + std::to_string(++lastRequestNumber);
        return EntrySite::ask(node.callers, request("POST", "/safe/a", id, "", "a body of its own: " + id));
    }

    // Sends the crashing request through all nodes in turn until three endpoints have crashed, and waits for the propagation time.
    void crashUntilBlocked()
    {
        for (std::size_t n = 0; crashedEndpoints() < crashesUntilBlocked && n < endpointCount; ++n)
            sendCrashingRequest(*nodes[n % nodes.size()]);
        auto crashedAt = steadyNow();
        waitUntil([&] { return steadyNow() - crashedAt >= propagationTime; }, propagationTime * 2);
    }

    void sendCrashingToAllNodes(int times)
    {
        for (int n = 0; n < times; ++n) {
            for (auto* it : nodes)
                sendCrashingRequest(*it);
        }
    }

    EntrySite site {};
    std::vector<Fakes::ScriptedEndpoint*> endpointServers {};
    std::vector<EntryProcess*> nodes {};
    std::set<std::size_t> removed {};
    int startedNodes { 0 };
    int lastRequestNumber { 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingRequests)

// Without blocking, 15 repeats after the first four attempts led to 10 more attempts, each of which crashed an endpoint, and other requests
// were refused because no endpoint was left. With blocking there are none.
BOOST_AUTO_TEST_CASE(a_request_that_crashed_three_endpoints_is_blocked_and_others_are_served)
{
    CrashingSite crashing(3);
    crashing.crashUntilBlocked();
    auto before = crashing.crashingAttempts();
    crashing.sendCrashingToAllNodes(5);
    BOOST_TEST(crashing.crashingAttempts() - before <= maximumLateAttempts);
    for (auto* it : crashing.nodes)
        BOOST_TEST(crashing.sendOtherRequest(*it).head.status == HttpStatus::ok);
}

BOOST_AUTO_TEST_CASE(a_blocked_request_is_refused_at_once_with_retry_after)
{
    CrashingSite crashing(1);
    crashing.crashUntilBlocked();
    auto sentAt = steadyNow();
    auto answer = crashing.sendCrashingRequest(*crashing.nodes[0], "/once/a");
    // The same body on another path is a different request and is not blocked.
    BOOST_TEST(answer.head.status != HttpStatus::serviceUnavailable);
    sentAt = steadyNow();
    answer = crashing.sendCrashingRequest(*crashing.nodes[0]);
    BOOST_TEST(answer.head.status == HttpStatus::serviceUnavailable);
    BOOST_TEST(!answer.head.value("retry-after").empty());
    BOOST_TEST(toMilliseconds(steadyNow() - sentAt).count() < 200);
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_later_blocks_the_request_too)
{
    CrashingSite crashing(2);
    crashing.crashUntilBlocked();
    auto& lateNode = crashing.startNode();
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt >= propagationTime; }, propagationTime * 2);
    auto before = crashing.crashingAttempts();
    for (int n = 0; n < 5; ++n)
        crashing.sendCrashingRequest(lateNode);
    BOOST_TEST(crashing.crashingAttempts() - before <= maximumLateAttempts);
}

BOOST_AUTO_TEST_CASE(the_request_stays_blocked_after_all_nodes_were_killed)
{
    CrashingSite crashing(3);
    crashing.crashUntilBlocked();
    for (auto* it : crashing.nodes)
        it->process->signal(SIGKILL);
    crashing.nodes.clear();
    for (int n = 0; n < 3; ++n)
        crashing.startNode();
    auto startedAt = steadyNow();
    waitUntil([&] { return steadyNow() - startedAt >= propagationTime; }, propagationTime * 2);
    auto before = crashing.crashingAttempts();
    crashing.sendCrashingToAllNodes(5);
    BOOST_TEST(crashing.crashingAttempts() - before <= maximumLateAttempts);
}

BOOST_AUTO_TEST_SUITE_END()
