// Promise: if an endpoint refuses a request with Retry-After, the gateway sends it no request for that duration, and clients receive the
// remaining time as their own Retry-After.
//
// Guards against a gateway that applies a refusal to one request only and discards its Retry-After: it sent the next request to the same
// endpoint and gave clients a fixed Retry-After of a second. Five of ten prompts, and each of five calls, reached the endpoint within the
// backoff that it had requested.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

BOOST_AUTO_TEST_SUITE(AskedRest)

BOOST_AUTO_TEST_CASE(a_plain_service_gets_no_request_during_its_retry_after_and_clients_receive_the_rest_of_it)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1 });
    BOOST_REQUIRE(cluster.deploy(1));
    cluster.post(cluster.service(), "/control", { { "refuse", true }, { "retry_after", "20" } });
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey });
    for (int n = 0; n < 5; ++n) {
        BOOST_REQUIRE(client.refreshAddresses(1));
        auto ticket = client.takeTicket();
        BOOST_REQUIRE(ticket);
        auto refused = client.callOnce(ticket->second, "release", "/release", "{}", ticket->first);
        BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
        BOOST_CHECK_GT(refused.retryAfter.count(), 10000);
    }
    BOOST_CHECK_EQUAL(cluster.executionCount("refused"), 1);
}

BOOST_AUTO_TEST_CASE(an_engine_gets_no_request_during_its_retry_after_and_others_serve)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1, .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(2));
    auto& backedOff = cluster.engines().front();
    cluster.post(backedOff.address, "/control", { { "fault", "refuse" }, { "retry_after", "60" } });
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey });
    for (int n = 0; n < 10; ++n) {
        auto answer = client.chat({ .service = "planner", .prompt = "lot " + std::to_string(n), .maximumTokens = 10 }, [](const std::string&) {});
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed);
    }
    auto refused = cluster.get(backedOff.address, "/control").value("refused", 0L);
    BOOST_CHECK_LE(refused, 1);
}

// An engine that refused prompts without Retry-After had no request in flight, so that load balancing chose it again for the next prompt.
BOOST_AUTO_TEST_CASE(an_engine_that_refuses_without_retry_after_is_backed_off)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1, .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(2));
    auto& refusing = cluster.engines().front();
    cluster.post(refusing.address, "/control", { { "fault", "refuse" } });
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey });
    auto startedAt = steadyNow();
    for (int n = 0; n < 30; ++n) {
        auto answer = client.chat({ .service = "planner", .prompt = "lot " + std::to_string(n), .maximumTokens = 1 }, [](const std::string&) {});
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed);
    }
    // The first refusal, and one more after each backoff: 100 ms, doubled each time up to a second.
    auto elapsed = steadyNow() - startedAt;
    long allowed = 1;
    for (Milliseconds pause { 100 }, sum { 100 }; sum <= elapsed; sum += pause) {
        ++allowed;
        pause = std::min(pause * 2, Milliseconds(1000));
    }
    BOOST_CHECK_LE(cluster.get(refusing.address, "/control").value("refused", 0L), allowed);
}

// A gateway routes to a subset of a model's endpoints (`endpointSubset`). If that entire subset was backed off, clients received a
// Retry-After of a second, because of endpoints outside the subset, to which the gateway sends no requests.
BOOST_AUTO_TEST_CASE(endpoints_outside_the_subset_do_not_shorten_the_retry_after)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1, .enginesPerZone = 2, .gatewaySettings = { { "endpointSubset", 1 }, { "endpointWaitMs", 200 } } });
    BOOST_REQUIRE(cluster.deploy(2));
    for (auto& it : cluster.engines())
        cluster.post(it.address, "/control", { { "fault", "refuse" }, { "retry_after", "60" } });
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey, .maximumTries = 1 });
    auto refused = client.chat({ .service = "planner", .prompt = "lot 7", .maximumTokens = 10 }, [](const std::string&) {});
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_GT(refused.retryAfter.count(), 30000);
}

BOOST_AUTO_TEST_SUITE_END()
