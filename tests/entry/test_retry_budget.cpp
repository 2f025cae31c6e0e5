// Tests what an entry node takes of what all nodes share, the retry budget and the connections of an endpoint, with a real process.
#include "tests/harness/entry_site.h"
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr int listedNodes = 7;
constexpr int slots = 200;
constexpr int maximumConnections = 100; // That an endpoint takes, as declared.
constexpr double retriesPerRequest = 0.2;
constexpr double reserve = 58;

Fakes::ScriptedResponse failure(const Fakes::ReceivedRequest& it)
{
    return { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-1\r\nContent-Length: 0\r\n\r\n" };
}

// A node whose store lists others that never answer, as many endpoints that all follow `script`.
struct CutOffNodeSite {
    explicit CutOffNodeSite(int endpointCount, const Fakes::ScriptedEndpoint::Script& script)
    {
        site.declare(EntrySite::declaration(1));
        for (int n = 0; n < endpointCount; ++n) {
            auto id = "i-" + std::to_string(n);
            endpoints.push_back(&site.addEndpoint(id, script));
            auto entry = EntrySite::entryOf(endpoints.back()->address(), "ready");
            entry["slots"] = slots;
            site.platform().put("servers", id, entry);
        }
        constexpr int discardPort = 9;
        for (int n = 1; n < listedNodes; ++n)
            site.platform().put("onyxnotch-nodes", "node-" + std::to_string(n + 1), { { "gossip", ownLoopback() + ":" + std::to_string(discardPort) }, { "lifetime", 1 }, { "zone", "z" }, { "processorPercent", 100 } });
        node = &site.startNode("node-1", { { "retries", { { "perRequest", retriesPerRequest }, { "reserve", reserve } } } });
        BOOST_REQUIRE(node->process->waitEvent("nodes_expected", Milliseconds(20000)));
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    }

    std::size_t arrivals() const
    {
        std::size_t total = 0;
        for (const auto* it : endpoints)
            total += it->requests().size();
        return total;
    }

    EntrySite site {};
    std::vector<Fakes::ScriptedEndpoint*> endpoints {};
    EntryProcess* node { nullptr };
};

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRetryBudget)

// Each of the nodes may be cut off from all others at the same time.
BOOST_AUTO_TEST_CASE(a_node_that_hears_of_nobody_takes_its_share_of_the_reserve)
{
    constexpr int requests = 60;
    constexpr int endpoints = 12;
    CutOffNodeSite one(endpoints, failure);
    for (int n = 0; n < requests; ++n)
        EntrySite::ask(one.node->callers, request("GET", "/safe/a", "id-" + std::to_string(n)));
    auto retries = static_cast<double>(one.arrivals()) - requests;
    BOOST_TEST(retries > 0);
    BOOST_TEST(listedNodes * retries <= retriesPerRequest * listedNodes * requests + reserve);
}

BOOST_AUTO_TEST_CASE(a_node_that_hears_of_nobody_opens_its_share_of_the_connections)
{
    constexpr int clients = 60;
    CutOffNodeSite one(1, [](const auto&) { return Fakes::ScriptedResponse { .ending = Fakes::ScriptedResponse::Ending::Hang }; });
    std::vector<std::unique_ptr<RawClient>> callers;
    for (int n = 0; n < clients; ++n) {
        callers.push_back(std::make_unique<RawClient>(one.node->callers));
        callers.back()->send(request("GET", "/safe/a", "id-" + std::to_string(n)));
    }
    for (auto& it : callers)
        it->read();
    BOOST_TEST(one.arrivals() > 0U);
    BOOST_TEST(listedNodes * one.arrivals() <= maximumConnections);
}

BOOST_AUTO_TEST_SUITE_END()
