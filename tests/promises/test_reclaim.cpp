// Promise: an accepted request is answered completely although the cloud reclaims its gateway's instance with notice, even if it reclaims
// an entire availability zone.
#include "modules/request/handover.h"
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions siteOptions()
{
    return { .enginesPerZone = 2, .engineArguments = { "--token-us", "20000" } };
}

std::vector<BackgroundChat> startAtEveryGateway(Cluster& cluster, unsigned count, unsigned tokens)
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
    auto chats = startAtEveryGateway(cluster, 18, 250);
    waitStreaming(chats);
    auto zone = cluster.gateway(0).zone;
    auto noticeAt = steadyNow();
    reclaimZone(cluster, zone, Milliseconds(2000));
    BOOST_CHECK_EQUAL(cluster.gateway(0).process->wait(Milliseconds(2000)).value_or(-1), 0);
    waitUntil([&] { return steadyNow() - noticeAt >= Milliseconds(2000); });
    killZone(cluster, zone);
    auto effort = requireComplete(chats);
    BOOST_CHECK_GE(effort.moves, 6);
    BOOST_CHECK_EQUAL(effort.reconnects, 0);
    // No tokens were computed again: the caches were transferred before the notice expired.
    for (std::size_t n : { 1, 2 })
        BOOST_CHECK_EQUAL(cluster.metric(cluster.gateway(n), "onyxnotch_recomputed_tokens_total"), 0);
}

BOOST_AUTO_TEST_CASE(the_object_service_is_down_meanwhile_and_the_notice_comes_twice)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startAtEveryGateway(cluster, 9, 250);
    waitStreaming(chats);
    cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
    auto zone = cluster.gateway(1).zone;
    auto noticeAt = steadyNow();
    reclaimZone(cluster, zone, Milliseconds(2000));
    reclaimZone(cluster, zone, Milliseconds(2000));
    BOOST_CHECK_EQUAL(cluster.gateway(1).process->wait(Milliseconds(2000)).value_or(-1), 0);
    waitUntil([&] { return steadyNow() - noticeAt >= Milliseconds(2000); });
    killZone(cluster, zone);
    requireComplete(chats);
}

BOOST_AUTO_TEST_CASE(the_notice_leaves_too_little_time_to_move_the_cache)
{
    auto options = siteOptions();
    options.gatewaySettings = { { "transferTokensPerSecond", 10 } };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startAtEveryGateway(cluster, 6, 150);
    waitStreaming(chats);
    auto zone = cluster.gateway(0).zone;
    reclaimZone(cluster, zone, Milliseconds(1000));
    cluster.gateway(0).process->wait(Milliseconds(1000));
    killZone(cluster, zone);
    requireComplete(chats);
}

BOOST_AUTO_TEST_CASE(two_zones_of_three_are_reclaimed_at_once_so_that_successors_drain_too)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startAtEveryGateway(cluster, 9, 250);
    waitStreaming(chats);
    for (std::size_t n : { 0, 1 })
        reclaimZone(cluster, cluster.gateway(n).zone, Milliseconds(3000));
    for (std::size_t n : { 0, 1 })
        BOOST_CHECK_EQUAL(cluster.gateway(n).process->wait(Milliseconds(3500)).value_or(-1), 0);
    for (std::size_t n : { 0, 1 })
        killZone(cluster, cluster.gateway(n).zone);
    requireComplete(chats);
}

// A node may hand over its requests to a node that drains itself, if it was not notified of that drain yet. The draining node must refuse.
BOOST_AUTO_TEST_CASE(a_leaving_node_takes_nothing_over)
{
    Cluster cluster(siteOptions());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& draining = cluster.gateway(0);
    // A call in flight keeps the draining process running until shortly before the notice expires.
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    Client client({ .addresses = { draining.http }, .key = Cluster::teamKey });
    auto running = std::async(std::launch::async, [&] { return client.callOnce(draining.http, "lookup", "/lots/7", "{}", {}); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.serviceRuns().size() == 1; }));
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ draining.instance }) }, { "time_left_ms", 4000 } });
    BOOST_REQUIRE(draining.process->waitEvent("ledgers_offered", longWait));
    auto accepted = [&](const Frame& frame) {
        auto answer = callPeer(draining.peer, frame, Milliseconds(2000));
        BOOST_REQUIRE(answer);
        return unpackMessage<HandoverReplyMessage>(MessageType::HandoverReply, answer.value()).value().accepted;
    };
    BOOST_CHECK(!accepted(packMessage(MessageType::RequestBatch, RequestBatchMessage {})));
    BOOST_CHECK(!accepted(packMessage(MessageType::LedgerOffer, LedgerOfferMessage { .homeNode = "another.gateway", .homeIncarnation = 1 })));
    cluster.post(cluster.service(), "/control", { { "hold", false } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
}

// The process is killed after a successor took over its ledger but before one took over its requests. Clients that repeat their requests
// receive complete answers.
BOOST_AUTO_TEST_CASE(the_process_is_killed_in_the_middle_of_its_handover)
{
    auto options = siteOptions();
    options.gatewayProxies = true;
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(6));
    auto chats = startAtEveryGateway(cluster, 6, 150);
    waitStreaming(chats);
    for (const auto& it : cluster.gateways())
        cluster.setFault(it->peerForward, { { "delay_ms", 150 } });
    auto& draining = cluster.gateway(0);
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ draining.instance }) }, { "time_left_ms", 5000 } });
    BOOST_REQUIRE(draining.process->waitEvent("ledgers_offered", longWait));
    draining.process->kill();
    BOOST_CHECK(!draining.process->waitEvent("requests_handed_over", Milliseconds(0)));
    requireComplete(chats);
}

BOOST_AUTO_TEST_SUITE_END()
