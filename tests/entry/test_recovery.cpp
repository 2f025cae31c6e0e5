// All nodes are killed at once: how soon they serve again, and what that asks of the store.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr int nodes = 9;
constexpr Milliseconds looked { 3000 };

// A node's share of what the store takes (2,000 reads a second on the users' sites) is far above this; it watches two kinds, registers,
// and looks for the lease.
constexpr double callsPerNode = 16;

bool serves(const EntryProcess& node, int n)
{
    return EntrySite::ask(node.callers, request("GET", "/safe/a", "id-" + std::to_string(n))).head.status == HttpStatus::ok;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRecovery)

BOOST_AUTO_TEST_CASE(all_nodes_are_killed_at_once)
{
    EntrySite site;
    site.declare(EntrySite::declaration(3));
    site.addEndpoint("i-1", [](const auto& it) { return Fakes::ScriptedAnswer { .bytes = answerTo(it, "hello") }; });
    std::vector<EntryProcess*> running;
    running.reserve(nodes);
    for (int n = 0; n < nodes; ++n)
        running.push_back(&site.startNode("node-" + std::to_string(n)));
    for (auto* it : running)
        BOOST_REQUIRE(EntrySite::waitReady(*it));
    // Gone at once, and back at once, elsewhere.
    for (auto* it : running)
        it->process->signal(SIGKILL);
    auto killedAt = steadyNow();
    std::vector<EntryProcess*> again;
    again.reserve(nodes);
    for (int n = 0; n < nodes; ++n)
        again.push_back(&site.startNode("node-" + std::to_string(n)));
    for (int n = 0; n < nodes; ++n)
        BOOST_TEST(waitUntil([&] { return serves(*again[static_cast<std::size_t>(n)], n); }, Milliseconds(10000)));
    auto servedAfter = toMilliseconds(steadyNow() - killedAt);
    waitUntil([&] { return steadyNow() - killedAt >= looked; });
    auto calls = site.platform().storeCalls();
    auto count = std::count_if(calls.begin(), calls.end(), [&](auto it) { return it >= killedAt && it - killedAt < looked; });
    std::cout << Json { { "what", "all killed" }, { "nodes", nodes }, { "all_serve_after_ms", servedAfter.count() }, { "store_calls_in_3_s", count } }.dump() << std::endl;
    BOOST_TEST(servedAfter.count() < 5000);
    BOOST_TEST(static_cast<double>(count) < nodes * callsPerNode);
}

BOOST_AUTO_TEST_SUITE_END()
