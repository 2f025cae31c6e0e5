// Promise: a planned stop (SIGTERM) interrupts no request that is in flight. The gateway drains for up to `drainLimitMs`, then hands the
// remaining requests over to other gateways.
#include "core/net/http_client.h"
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions site(long drainLimit)
{
    return { .engineArguments = { "--token-us", "10000" }, .gatewaySettings = { { "drainLimitMs", drainLimit } } };
}

std::vector<BackgroundChat> startAtThreeGateways(Cluster& cluster, unsigned count, unsigned tokens, std::size_t firstGateway = 0)
{
    std::vector<BackgroundChat> chats;
    for (unsigned n = 0; n < count; ++n) {
        auto& gateway = cluster.gateway(firstGateway + n % 3);
        chats.push_back(startChat(cluster, gateway.http, "roster " + std::to_string(firstGateway) + "." + std::to_string(n), tokens));
    }
    return chats;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlannedStop)

BOOST_AUTO_TEST_CASE(one_node_stops_after_its_requests_have_ended)
{
    Cluster cluster(site(20000));
    BOOST_REQUIRE(cluster.deploy(3));
    auto chats = startAtThreeGateways(cluster, 9, 120);
    waitStreaming(chats);
    cluster.gateway(0).process->signal(SIGTERM);
    // Clients reach another gateway with new requests while this one drains.
    BOOST_REQUIRE(cluster.gateway(0).process->waitEvent("drain_started", longWait));
    Client late({ .addresses = { cluster.gateway(0).http, cluster.gateway(1).http }, .key = Cluster::teamKey });
    BOOST_CHECK(late.chat({ .service = "planner", .prompt = "late", .maximumTokens = 5 }).outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(cluster.gateway(0).process->wait(longWait).value_or(-1), 0);
    // The streams ended at the gateways where they started.
    auto effort = requireComplete(chats);
    BOOST_CHECK_EQUAL(effort.moves, 0);
    BOOST_CHECK_EQUAL(effort.reconnects, 0);
}

BOOST_AUTO_TEST_CASE(long_streams_move_when_the_limit_has_come)
{
    Cluster cluster(site(300));
    BOOST_REQUIRE(cluster.deploy(3));
    auto chats = startAtThreeGateways(cluster, 9, 250);
    waitStreaming(chats);
    cluster.gateway(0).process->signal(SIGTERM);
    BOOST_CHECK_EQUAL(cluster.gateway(0).process->wait(longWait).value_or(-1), 0);
    auto effort = requireComplete(chats);
    BOOST_CHECK_GE(effort.moves, 3);
    BOOST_CHECK_EQUAL(effort.reconnects, 0);
    for (std::size_t n : { 1, 2 })
        BOOST_CHECK_EQUAL(cluster.metric(cluster.gateway(n), "onyxnotch_recomputed_tokens_total"), 0);
}

BOOST_AUTO_TEST_CASE(a_second_signal_moves_the_streams_at_once)
{
    Cluster cluster(site(60000));
    BOOST_REQUIRE(cluster.deploy(3));
    auto chats = startAtThreeGateways(cluster, 9, 250);
    waitStreaming(chats);
    auto& draining = cluster.gateway(0);
    draining.process->signal(SIGTERM);
    BOOST_REQUIRE(draining.process->waitEvent("drain_started", longWait));
    draining.process->signal(SIGTERM);
    BOOST_CHECK_EQUAL(draining.process->wait(Milliseconds(2000)).value_or(-1), 0);
    auto effort = requireComplete(chats);
    BOOST_CHECK_GE(effort.moves, 3);
    BOOST_CHECK_EQUAL(effort.reconnects, 0);
}

BOOST_AUTO_TEST_CASE(all_nodes_are_replaced_in_turn_under_load)
{
    Cluster cluster(site(200));
    BOOST_REQUIRE(cluster.deploy(3));
    auto chats = startAtThreeGateways(cluster, 12, 500);
    waitStreaming(chats);
    for (std::size_t n = 0; n < 3; ++n) {
        auto zone = cluster.gateway(n).zone;
        auto& next = cluster.startGateway(zone + "-next", zone);
        BOOST_REQUIRE(waitUntil([&] { return cluster.get(next.http, "/readyz").value("ready", false); }));
        BOOST_REQUIRE(cluster.waitMemberState(cluster.gateway(n), next.instance + ".gateway", "alive"));
        cluster.gateway(n).process->signal(SIGTERM);
        BOOST_CHECK_EQUAL(cluster.gateway(n).process->wait(longWait).value_or(-1), 0);
    }
    auto effort = requireComplete(chats);
    BOOST_CHECK_GE(effort.moves, 12);
    BOOST_CHECK_EQUAL(effort.reconnects, 0);
}

BOOST_AUTO_TEST_CASE(a_call_to_a_plain_service_in_flight)
{
    Cluster cluster(site(20000));
    BOOST_REQUIRE(cluster.deploy(1));
    auto& draining = cluster.gateway(0);
    Client client({ .addresses = { draining.http }, .key = Cluster::teamKey });
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    auto running = std::async(std::launch::async, [&] { return client.callOnce(draining.http, "lookup", "/lots/7", "{}", {}); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.serviceRuns().size() == 1; }));
    draining.process->signal(SIGTERM);
    BOOST_REQUIRE(draining.process->waitEvent("ledgers_offered", longWait));
    cluster.post(cluster.service(), "/control", { { "hold", false } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(draining.process->wait(longWait).value_or(-1), 0);
}

BOOST_AUTO_TEST_CASE(answers_that_are_not_streamed_follow_the_request)
{
    Cluster cluster(site(200));
    BOOST_REQUIRE(cluster.deploy(3));
    auto& draining = cluster.gateway(0);
    Json message { { "role", "user" }, { "content", "whole at once" } };
    Json body { { "model", "planner" }, { "max_tokens", 150 }, { "messages", Json::array({ message }) } };
    HttpCall call { .method = "POST", .path = "/v1/chat/completions", .headers = { { "Authorization", std::string("Bearer ") + Cluster::teamKey } }, .body = body.dump(), .readTimeout = longWait };
    auto running = std::async(std::launch::async, [&] { return sendHttp(draining.http, call); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.status(draining).value("running_requests", 0) == 1; }));
    draining.process->signal(SIGTERM);
    auto reply = running.get();
    BOOST_REQUIRE(reply);
    BOOST_REQUIRE_EQUAL(reply.value().status, 303);
    auto location = reply.value().header("location");
    auto slash = location.find('/', std::string("http://").size());
    auto next = sendHttp(parseAddress(location.substr(0, slash)).value(), { .path = location.substr(slash), .headers = call.headers, .readTimeout = longWait });
    BOOST_REQUIRE(next);
    auto text = Json::parse(next.value().body)["choices"][0]["message"]["content"].get<std::string>();
    BOOST_CHECK(text == Fakes::expectedAnswer(Fakes::promptOf("whole at once"), 150));
}

BOOST_AUTO_TEST_SUITE_END()
