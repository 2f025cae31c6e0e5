// Promise: a request that was accepted survives any announced reclaim, even when its availability zone disappears.
#include "modules/request/handover.h"
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions siteOptions()
{
    return { .enginesPerZone = 2, .engineArguments = { "--token-us", "20000" } };
}

std::vector<BackgroundChat> startEverywhere(Cluster& cluster, unsigned count, unsigned tokens)
{
    std::vector<BackgroundChat> chats;
    for (unsigned n = 0; n < count; ++n)
        chats.push_back(startChat(cluster, cluster.gateway(n % cluster.gateways().size()).http, "corridor plan " + std::to_string(n), tokens));
    return chats;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Reclaim)

BOOST_AUTO_TEST_CASE(a_zone_goes_with_its_gateways_and_engines)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startEverywhere(cluster, 18, 250);
    waitStreaming(chats);
    auto zone = cluster.gateway(0).zone;
    auto noticeAt = steadyNow();
    reclaimZone(cluster, zone, Milliseconds(2000));
    BOOST_CHECK_EQUAL(cluster.gateway(0).process->wait(Milliseconds(2000)).value_or(-1), 0);
    waitUntil([&] { return steadyNow() - noticeAt >= Milliseconds(2000); });
    killZone(cluster, zone);
    auto effort = requireWhole(chats);
    BOOST_CHECK_GE(effort.moves, 6);
    BOOST_CHECK_EQUAL(effort.cuts, 0);
    // Nothing was computed again: caches were moved while there was time.
    for (std::size_t n : { 1, 2 })
        BOOST_CHECK_EQUAL(cluster.metric(cluster.gateway(n), "onyxnotch_recomputed_tokens_total"), 0);
}

BOOST_AUTO_TEST_CASE(the_object_service_is_down_meanwhile_and_the_notice_comes_twice)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startEverywhere(cluster, 9, 250);
    waitStreaming(chats);
    cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
    auto zone = cluster.gateway(1).zone;
    auto noticeAt = steadyNow();
    reclaimZone(cluster, zone, Milliseconds(2000));
    reclaimZone(cluster, zone, Milliseconds(2000));
    BOOST_CHECK_EQUAL(cluster.gateway(1).process->wait(Milliseconds(2000)).value_or(-1), 0);
    waitUntil([&] { return steadyNow() - noticeAt >= Milliseconds(2000); });
    killZone(cluster, zone);
    requireWhole(chats);
}

BOOST_AUTO_TEST_CASE(the_notice_leaves_too_little_time_to_move_the_cache)
{
    auto options = siteOptions();
    options.gatewaySettings = { { "transferTokensPerSecond", 10 } };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startEverywhere(cluster, 6, 150);
    waitStreaming(chats);
    auto zone = cluster.gateway(0).zone;
    reclaimZone(cluster, zone, Milliseconds(1000));
    cluster.gateway(0).process->wait(Milliseconds(1000));
    killZone(cluster, zone);
    requireWhole(chats);
}

BOOST_AUTO_TEST_CASE(two_zones_of_three_go_at_once_so_that_successors_leave_themselves)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startEverywhere(cluster, 9, 250);
    waitStreaming(chats);
    for (std::size_t n : { 0, 1 })
        reclaimZone(cluster, cluster.gateway(n).zone, Milliseconds(3000));
    for (std::size_t n : { 0, 1 })
        BOOST_CHECK_EQUAL(cluster.gateway(n).process->wait(Milliseconds(3500)).value_or(-1), 0);
    for (std::size_t n : { 0, 1 })
        killZone(cluster, cluster.gateway(n).zone);
    requireWhole(chats);
}

// News that a node is leaving may not have reached the one that hands over to it: it refuses by itself.
BOOST_AUTO_TEST_CASE(a_leaving_node_takes_nothing_over)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& leaving = cluster.gateway(0);
    // A call in flight keeps it there until shortly before its deadline.
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    Client client({ .addresses = { leaving.http }, .key = Cluster::teamKey });
    auto running = std::async(std::launch::async, [&] { return client.callOnce(leaving.http, "lookup", "/lots/7", "{}", {}); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.serviceRuns().size() == 1; }));
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ leaving.instance }) }, { "time_left_ms", 4000 } });
    BOOST_REQUIRE(leaving.process->waitEvent("ledgers_offered", longWait));
    auto accepted = [&](const Frame& frame) {
        auto answer = callPeer(leaving.peer, frame, Milliseconds(2000));
        BOOST_REQUIRE(answer);
        return unpackMessage<HandoverReplyMessage>(MessageType::HandoverReply, answer.value()).value().accepted;
    };
    BOOST_CHECK(!accepted(packMessage(MessageType::RequestBatch, RequestBatchMessage {})));
    BOOST_CHECK(!accepted(packMessage(MessageType::LedgerOffer, LedgerOfferMessage { .homeNode = "another.gateway", .homeIncarnation = 1 })));
    cluster.post(cluster.service(), "/control", { { "hold", false } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
}

// The process is killed after its ledger was taken and before its requests were: callers that repeat get whole answers.
BOOST_AUTO_TEST_CASE(the_process_is_killed_in_the_middle_of_its_handover)
{
    auto options = siteOptions();
    options.gatewayProxies = true;
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startEverywhere(cluster, 6, 150);
    waitStreaming(chats);
    for (const auto& it : cluster.gateways())
        cluster.setFault(it->peerForward, { { "delay_ms", 150 } });
    auto& leaving = cluster.gateway(0);
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ leaving.instance }) }, { "time_left_ms", 5000 } });
    BOOST_REQUIRE(leaving.process->waitEvent("ledgers_offered", longWait));
    leaving.process->kill();
    BOOST_CHECK(!leaving.process->waitEvent("requests_handed_over", Milliseconds(0)));
    requireWhole(chats);
}

BOOST_AUTO_TEST_SUITE_END()
