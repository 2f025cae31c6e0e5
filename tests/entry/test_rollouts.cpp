// Tests rollouts with real entry processes: the operator's order, the share of requests that the new version gets, and the recorded state.
#include "tests/harness/entry_site.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

// Duration of a request at an endpoint, so that clients that send without a pause do not use up the processor.
void simulateWork() { std::this_thread::sleep_for(std::chrono::milliseconds(5)); }

Fakes::ScriptedResponse goodAnswer(const Fakes::ReceivedRequest& it)
{
    simulateWork();
    return { .bytes = answerTo(it, "hello") };
}

Fakes::ScriptedResponse badAnswer(const Fakes::ReceivedRequest& it)
{
    simulateWork();
    return { .bytes = "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: " + std::string(it.head.value("attempt-id")) + "\r\nServer-Stamp: stamp-2\r\nContent-Length: 0\r\n\r\n" };
}

// Two nodes that forward to one endpoint of each version, with one client per node that sends requests in a loop.
struct RolloutSite {
    explicit RolloutSite(Fakes::ScriptedEndpoint::Script newScript)
    {
        site.declare(EntrySite::declaration(1));
        oldEndpoint = &site.addEndpoint("i-old", goodAnswer);
        Json settings { { "duties", { "metering", "autoscale" } }, { "rollouts", { { "canaryShare", 0.1 }, { "canarySlack", 50 } } } };
        for (const auto* name : { "node-1", "node-2" })
            nodes.push_back(&site.startNode(name, settings));
        for (const auto* it : nodes)
            BOOST_REQUIRE(EntrySite::waitReady(*it));
        for (std::size_t n = 0; n < nodes.size(); ++n)
            clients.emplace_back([this, n] { sendRequests(n); });
        newVersionScript = std::move(newScript);
    }

    ~RolloutSite()
    {
        isStopped = true;
        for (auto& it : clients)
            it.join();
    }

    // Sends requests through the node until the test ends or the node is killed.
    void sendRequests(std::size_t n)
    try {
        for (unsigned count = 0; !isStopped; ++count) {
            auto answer = EntrySite::ask(nodes[n]->callers, request("GET", "/safe/a", "id-" + std::to_string(n) + "-" + std::to_string(count)));
            ++requestsSent;
            requestsFailed += answer.head.status == HttpStatus::ok ? 0 : 1;
        }
    } catch (const std::exception& exception) {
        BOOST_TEST_MESSAGE("a caller ended: " << exception.what());
    }

    void order(const std::string& version, int seconds)
    {
        site.platform().put("rollouts", "s", { { "service", "s" }, { "targetVersion", version }, { "durationS", seconds } });
    }

    Fakes::ScriptedEndpoint& addNewVersionEndpoint()
    {
        auto& endpoint = site.addEndpoint("i-new", newVersionScript, "v2");
        return endpoint;
    }

    std::string state()
    {
        auto status = site.platform().status("rollouts", "s");
        return status.is_null() ? std::string() : status.value("state", "");
    }
    bool waitState(const std::string& expected, Milliseconds timeout)
    {
        return waitUntil([&] { return state() == expected; }, timeout);
    }

    EntrySite site {};
    Fakes::ScriptedEndpoint* oldEndpoint { nullptr };
    Fakes::ScriptedEndpoint::Script newVersionScript {};
    std::vector<EntryProcess*> nodes {};
    std::vector<std::thread> clients {};
    std::atomic<bool> isStopped { false };
    std::atomic<unsigned> requestsSent { 0 };
    std::atomic<unsigned> requestsFailed { 0 };
};

constexpr Milliseconds shortTimeout { 10000 };
constexpr Milliseconds longTimeout { 40000 };

} // namespace

BOOST_AUTO_TEST_SUITE(EntryRollouts)

BOOST_AUTO_TEST_CASE(a_good_version_gets_a_share_then_all_requests)
{
    RolloutSite run(goodAnswer);
    run.order("v2", 15);
    BOOST_TEST(run.waitState("in_progress", shortTimeout));
    auto& endpoint = run.addNewVersionEndpoint();
    BOOST_TEST(waitUntil([&] { return !endpoint.requests().empty(); }, shortTimeout));
    BOOST_TEST(run.waitState("completed", longTimeout));
    BOOST_TEST(run.site.platform().status("rollouts", "s").value("targetVersion", "") == "v2");
    // Once the rollout is completed, the old version gets no more requests.
    auto old = run.oldEndpoint->requests().size();
    auto before = endpoint.requests().size();
    BOOST_TEST(waitUntil([&] { return endpoint.requests().size() > before + 50; }, shortTimeout));
    BOOST_TEST(run.oldEndpoint->requests().size() == old);
    BOOST_TEST(run.requestsFailed == 0U);
}

BOOST_AUTO_TEST_CASE(a_bad_version_is_reverted_after_few_requests)
{
    RolloutSite run(badAnswer);
    run.order("v2", 15);
    BOOST_TEST(run.waitState("in_progress", shortTimeout));
    auto before = run.requestsSent.load();
    auto& endpoint = run.addNewVersionEndpoint();
    BOOST_TEST(run.waitState("reverted", longTimeout));
    // The other node receives the revert with the next row. Requests that it sent before may still arrive, and none after that.
    auto receivesNoRequests = [&] {
        auto received = endpoint.requests().size();
        auto enoughRequests = run.requestsSent + 200;
        return waitUntil([&] { return run.requestsSent > enoughRequests; }, shortTimeout) && endpoint.requests().size() == received;
    };
    BOOST_TEST(waitUntil(receivesNoRequests, shortTimeout));
    BOOST_TEST(receivesNoRequests());
    BOOST_TEST(receivesNoRequests());
    BOOST_TEST(static_cast<double>(endpoint.requests().size()) <= 0.1 * (run.requestsSent - before) + 50);
    // Each failed request was retried at the old version.
    BOOST_TEST(run.requestsFailed == 0U);
}

// A second version appears without an order; a node may use it only after it has read the orders from the store.
BOOST_AUTO_TEST_CASE(a_version_without_an_order_is_used_once_the_orders_were_read)
{
    RolloutSite run(goodAnswer);
    auto& endpoint = run.addNewVersionEndpoint();
    BOOST_TEST(waitUntil([&] { return endpoint.requests().size() > 20; }, longTimeout));
}

BOOST_AUTO_TEST_CASE(a_rollout_continues_after_its_duty_holder_is_killed)
{
    RolloutSite run(badAnswer);
    run.order("v2", 20);
    BOOST_TEST(run.waitState("in_progress", shortTimeout));
    auto before = run.requestsSent.load();
    auto holder = run.site.platform().cloudCalls("/usage").empty() ? std::string("node-1") : run.site.platform().cloudCalls("/usage").back().holder;
    run.nodes[holder == "node-2" ? 1 : 0]->process->signal(SIGKILL);
    auto& endpoint = run.addNewVersionEndpoint();
    BOOST_TEST(run.waitState("reverted", longTimeout));
    BOOST_TEST(static_cast<double>(endpoint.requests().size()) <= 0.1 * (run.requestsSent - before) + 50);
}

BOOST_AUTO_TEST_CASE(a_rollout_survives_an_outage_of_the_store)
{
    RolloutSite run(goodAnswer);
    run.order("v2", 20);
    BOOST_TEST(run.waitState("in_progress", shortTimeout));
    auto& endpoint = run.addNewVersionEndpoint();
    BOOST_TEST(waitUntil([&] { return !endpoint.requests().empty(); }, shortTimeout));
    run.site.platform().setDown(true);
    auto countBefore = endpoint.requests().size();
    BOOST_TEST(waitUntil([&] { return endpoint.requests().size() > countBefore + 5; }, shortTimeout));
    run.site.platform().setDown(false);
    BOOST_TEST(run.waitState("completed", longTimeout));
}

BOOST_AUTO_TEST_CASE(an_invalid_order_is_refused_and_does_not_affect_others)
{
    RolloutSite run(goodAnswer);
    run.site.platform().put("rollouts", "nobody", { { "service", "nobody" }, { "targetVersion", "v2" }, { "durationS", 5 } });
    run.site.platform().put("rollouts", "broken", { { "service", 7 } });
    run.order("v2", 15);
    BOOST_TEST(run.waitState("in_progress", shortTimeout));
    BOOST_TEST(run.site.platform().status("rollouts", "nobody").is_null());
}

BOOST_AUTO_TEST_SUITE_END()
