// Tests that removals of endpoints take effect in time while the store cuts the watches of a node, with a real entry process.
#include "tests/fakes/tcp_relay.h"
#include "tests/harness/entry_site.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds drainTime { 2000 }; // A removed endpoint receives no request later than this.
constexpr Milliseconds observedTime { 3500 }; // From the removal.
constexpr Milliseconds workTime { 10 }; // Of an endpoint for a request.
constexpr unsigned clientCount = 12; // Enough to keep all endpoints in use.

// One node before six endpoints, whose connections to the store can be cut.
struct CutWatchSite {
    CutWatchSite()
        : relay(site.platform().address())
    {
        site.declare(EntrySite::declaration(1));
        for (const auto& id : ids)
            endpoints.push_back(&site.addEndpoint(id, answer));
        node = &site.startNode("node-1", { { "store", relay.address().text() } });
        BOOST_REQUIRE(EntrySite::waitReady(*node));
    }

    // Removes the entries of the first `count` endpoints while clients send requests, and cuts the connections to the store at the times in
    // `cuts`, counted from the removal. Returns how many requests reached the removed endpoints after `drainTime`.
    std::size_t countLateRequests(std::size_t count, const std::vector<Milliseconds>& cuts)
    {
        std::atomic<bool> isStopped { false };
        std::vector<std::thread> clients;
        clients.reserve(clientCount);
        for (unsigned n = 0; n < clientCount; ++n)
            clients.emplace_back([&, n] { sendRequests(n, isStopped); });
        BOOST_TEST(waitUntil([&] { return std::all_of(endpoints.begin(), endpoints.end(), [](const auto* it) { return !it->requests().empty(); }); }));
        auto removedAt = steadyNow();
        for (std::size_t n = 0; n < count; ++n)
            site.platform().remove("servers", ids[n]);
        for (auto it : cuts) {
            std::this_thread::sleep_until(removedAt + it);
            relay.cutConnections();
        }
        std::this_thread::sleep_until(removedAt + observedTime);
        isStopped = true;
        for (auto& it : clients)
            it.join();
        BOOST_TEST(failed == 0U);
        std::size_t late = 0;
        for (std::size_t n = 0; n < count; ++n) {
            auto requests = endpoints[n]->requests();
            late += static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), [&](const auto& it) { return it.arrivedAt > removedAt + drainTime; }));
        }
        return late;
    }

    void sendRequests(unsigned client, const std::atomic<bool>& isStopped)
    {
        for (unsigned n = 0; !isStopped; ++n) {
            auto id = std::to_string(client) + "-" + std::to_string(n);
            if (EntrySite::ask(node->callers, request("GET", "/safe/a", id)).head.status != HttpStatus::ok)
                ++failed;
        }
    }

    static Fakes::ScriptedResponse answer(const Fakes::ReceivedRequest& it)
    {
        std::this_thread::sleep_for(workTime);
        return { .bytes = answerTo(it, "hello") };
    }

    std::vector<std::string> ids { "i-1", "i-2", "i-3", "i-4", "i-5", "i-6" };
    EntrySite site {};
    Fakes::TcpRelay relay;
    std::vector<Fakes::ScriptedEndpoint*> endpoints {};
    EntryProcess* node { nullptr };
    std::atomic<unsigned> failed { 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(CutWatches)

// Guards against a fault where one watch that the store cut kept endpoints whose entries had vanished together in use until 2 s after the cut.
BOOST_AUTO_TEST_CASE(a_cut_watch_does_not_delay_the_removal_of_several_endpoints)
{
    CutWatchSite site;
    auto late = site.countLateRequests(3, { Milliseconds(1000) });
    BOOST_TEST(late == 0U);
}

// Guards against a fault where watches that were cut every 1.5 s kept a removed endpoint in use.
BOOST_AUTO_TEST_CASE(watches_that_are_cut_again_and_again_do_not_delay_a_removal)
{
    CutWatchSite site;
    site.relay.cutConnections();
    auto late = site.countLateRequests(1, { Milliseconds(500), Milliseconds(2000) });
    BOOST_TEST(late == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
