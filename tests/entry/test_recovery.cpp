// All nodes are killed at once and restarted: checks the time until they serve again, and the number of calls to the store.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr int nodeCount = 9;
constexpr Milliseconds observedTime { 3000 };

// Each node watches two kinds of objects, registers itself and looks for the lease. Its share of the capacity of the store (2,000 reads per
// second on the users' sites) is far above this.
constexpr double maximumCallsPerNode = 16;

bool isServing(const EntryProcess& node, int n)
{
    return EntrySite::ask(node.callers, request("GET", "/safe/a", "id-" + std::to_string(n))).head.status == HttpStatus::ok;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRecovery)

BOOST_AUTO_TEST_CASE(all_nodes_are_killed_at_once)
{
    EntrySite site;
    site.declare(EntrySite::declaration(3));
    site.addEndpoint("i-1", [](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") }; });
    std::vector<EntryProcess*> running;
    running.reserve(nodeCount);
    for (int n = 0; n < nodeCount; ++n)
        running.push_back(&site.startNode("node-" + std::to_string(n)));
    for (auto* it : running)
        BOOST_REQUIRE(EntrySite::waitReady(*it));
    // Kill all nodes, and start them again immediately, with other addresses.
    for (auto* it : running)
        it->process->signal(SIGKILL);
    auto killedAt = steadyNow();
    std::vector<EntryProcess*> restarted;
    restarted.reserve(nodeCount);
    for (int n = 0; n < nodeCount; ++n)
        restarted.push_back(&site.startNode("node-" + std::to_string(n)));
    for (int n = 0; n < nodeCount; ++n)
        BOOST_TEST(waitUntil([&] { return isServing(*restarted[static_cast<std::size_t>(n)], n); }, Milliseconds(10000)));
    auto servedAfter = toMilliseconds(steadyNow() - killedAt);
    waitUntil([&] { return steadyNow() - killedAt >= observedTime; });
    auto calls = site.platform().storeCalls();
    auto count = std::count_if(calls.begin(), calls.end(), [&](auto it) { return it >= killedAt && it - killedAt < observedTime; });
    std::cout << Json { { "what", "all killed" }, { "nodes", nodeCount }, { "all_serve_after_ms", servedAfter.count() }, { "store_calls_in_3_s", count } }.dump() << std::endl;
    BOOST_TEST(servedAfter.count() < 5000);
    BOOST_TEST(static_cast<double>(count) < nodeCount * maximumCallsPerNode);
}

// Guards against a node that ends, or does not serve, if it gets its first list of endpoints from a peer that has removed some of them.
BOOST_AUTO_TEST_CASE(a_node_that_cannot_reach_the_store_starts_from_its_peers)
{
    EntrySite site;
    site.declare(EntrySite::declaration(3));
    auto answer = [](const auto& it) { return Fakes::ScriptedResponse { .bytes = answerTo(it, "hello") }; };
    site.addEndpoint("i-1", answer);
    site.addEndpoint("i-2", answer);
    auto& first = site.startNode("node-1");
    BOOST_REQUIRE(EntrySite::waitReady(first));
    site.platform().remove("servers", "i-2");
    BOOST_REQUIRE(first.process->waitLine([](const auto& line) { return line.find("\"endpoint_gone\"") != std::string::npos; }, Milliseconds(5000)).has_value());
    // Nodes find each other by seeds of other hosts, all with the same gossip port.
    auto host = ownLoopback();
    host.back() = host.back() == '1' ? '2' : '1';
    Json listen { { "callers", host + ":0" }, { "readiness", host + ":0" }, { "control", host + ":0" } };
    auto& second = site.startNode("node-2", { { "store", "127.0.0.1:1" }, { "listen", listen }, { "gossipPort", first.gossip.port }, { "seeds", { first.gossip.text() } } });
    BOOST_TEST(EntrySite::waitReady(second));
    BOOST_TEST(isServing(second, 1));
}

BOOST_AUTO_TEST_SUITE_END()
