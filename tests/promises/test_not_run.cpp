// Promise: if a gateway answers a request with the outcome "not run", no endpoint has executed it and none will execute a late copy of it.
// If the gateway cannot be sure, the outcome is "unknown".
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions serviceSite()
{
    return { .zones = { "kushiro-hall", "nemuro-hall" }, .controllers = 1, .serviceProxy = true };
}

// A ticket issued by the gateway, its home, and the home's address.
std::pair<std::string, Address> ticketFrom(const GatewayProcess& gateway)
{
    Client client({ .addresses = { gateway.http }, .key = Cluster::teamKey });
    BOOST_REQUIRE(client.refreshAddresses(1));
    auto ticket = client.takeTicket();
    BOOST_REQUIRE(ticket);
    return *ticket;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NotRun)

BOOST_AUTO_TEST_CASE(the_connection_to_the_endpoint_is_cut_before_within_and_after_the_request)
{
    Cluster cluster(serviceSite());
    BOOST_REQUIRE(cluster.deploy(1));
    auto client = cluster.client();
    for (const auto& fault : { Json { { "refuse", true } }, Json { { "cut_up_after", 0 } }, Json { { "cut_up_after", 60 } }, Json { { "cut_down_after", 0 } }, Json { { "cut_down_after", 30 } } }) {
        BOOST_TEST_CONTEXT("fault " << fault.dump())
        {
            cluster.setFault(cluster.serviceForward(), fault);
            auto [ticket, home] = ticketFrom(cluster.gateway(0));
            auto answer = client.callOnce(home, "release", "/release", "{}", ticket);
            BOOST_CHECK(answer.outcome == RequestOutcome::Unknown);
            // A repeat does not execute the request, and its outcome is not "not run" either.
            cluster.setFault(cluster.serviceForward(), Json::object());
            auto before = cluster.executionCount(ticket);
            auto repeat = client.callOnce(home, "release", "/release", "{}", ticket);
            BOOST_CHECK(repeat.outcome == RequestOutcome::Unknown);
            BOOST_CHECK_EQUAL(cluster.executionCount(ticket), before);
            bool wasExecuted = fault.contains("cut_down_after");
            BOOST_CHECK_EQUAL(before, wasExecuted ? 1 : 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(a_request_to_a_refusing_or_unreachable_endpoint_is_not_run)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1 });
    BOOST_REQUIRE(cluster.deploy(1));
    auto client = cluster.client();
    cluster.post(cluster.service(), "/control", { { "refuse", true } });
    auto [ticket, home] = ticketFrom(cluster.gateway(0));
    auto refused = client.callOnce(home, "release", "/release", "{}", ticket);
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_GT(refused.retryAfter.count(), 0);
    cluster.post(cluster.service(), "/control", { { "refuse", false } });
    // The ticket is used up: a late copy is not executed.
    BOOST_CHECK(client.callOnce(home, "release", "/release", "{}", ticket).outcome == RequestOutcome::NotRun);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticket), 0);
    cluster.plainService().kill();
    auto [second, sameHome] = ticketFrom(cluster.gateway(0));
    BOOST_CHECK(client.callOnce(sameHome, "release", "/release", "{}", second).outcome == RequestOutcome::NotRun);
}

BOOST_AUTO_TEST_CASE(a_refusal_at_a_limit_holds_for_late_copies)
{
    auto options = serviceSite();
    options.gatewaySettings = { { "maximumActive", 1 }, { "reservedForHigherPriority", 0 } };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(1));
    auto client = cluster.client();
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    const auto ticketAndHome = ticketFrom(cluster.gateway(0));
    const auto& first = ticketAndHome.first;
    const auto& home = ticketAndHome.second;
    auto running = std::async(std::launch::async, [&] { return client.callOnce(home, "release", "/release", "{}", first); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(first) == 1; }));
    auto [second, sameHome] = ticketFrom(cluster.gateway(0));
    auto sentAt = steadyNow();
    auto refused = client.callOnce(sameHome, "release", "/release", "{}", second);
    // A request over the limit is refused immediately, with a Retry-After.
    BOOST_CHECK(steadyNow() - sentAt < Milliseconds(500));
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_EQUAL(refused.httpStatus, 429);
    BOOST_CHECK_GT(refused.retryAfter.count(), 0);
    // The other gateway passes a repeat of the running request to the home, whose limit does not apply to repeats.
    auto repeat = std::async(std::launch::async, [&] { return client.callOnce(cluster.gateway(1).http, "release", "/release", "{}", first); });
    cluster.post(cluster.service(), "/control", { { "hold", false } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK(repeat.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK(client.callOnce(sameHome, "release", "/release", "{}", second).outcome == RequestOutcome::NotRun);
    BOOST_CHECK_EQUAL(cluster.executionCount(second), 0);
    BOOST_CHECK_EQUAL(cluster.executionCount(first), 1);
}

BOOST_AUTO_TEST_CASE(a_full_ledger_refuses_for_good)
{
    auto options = serviceSite();
    options.gatewaySettings = { { "maximumLedgerEntries", 2 } };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(1));
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey });
    for (unsigned n = 0; n < 2; ++n) {
        auto [ticket, home] = ticketFrom(cluster.gateway(0));
        BOOST_CHECK(client.callOnce(home, "release", "/release", "{}", ticket).outcome == RequestOutcome::Completed);
    }
    auto [ticket, home] = ticketFrom(cluster.gateway(0));
    auto refused = client.callOnce(home, "release", "/release", "{}", ticket);
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticket), 0);
}

BOOST_AUTO_TEST_CASE(a_deadline_that_passes_during_execution_is_not_reported_as_not_run)
{
    auto options = serviceSite();
    options.gatewaySettings = { { "requestDeadlineMs", 400 } };
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(1));
    auto client = cluster.client();
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    auto [ticket, home] = ticketFrom(cluster.gateway(0));
    BOOST_CHECK(client.callOnce(home, "release", "/release", "{}", ticket).outcome == RequestOutcome::Unknown);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticket), 1);
    cluster.post(cluster.service(), "/control", { { "hold", false } });
}

BOOST_AUTO_TEST_CASE(a_model_request_that_no_engine_started_is_not_run_and_a_cancelled_one_has_failed)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 1, .engineArguments = { "--token-us", "50000" }, .gatewaySettings = { { "endpointWaitMs", 200 }, { "unreadLimitMs", 300 } } });
    BOOST_REQUIRE(cluster.deploy(1));
    auto& engine = cluster.engines()[0];
    cluster.post(engine.address, "/control", { { "fault", "refuse" } });
    Client singleTryClient({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey, .maximumTries = 1 });
    auto refused = singleTryClient.chat({ .service = "planner", .prompt = "slot 14", .maximumTokens = 5 });
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_GT(refused.retryAfter.count(), 0);
    BOOST_CHECK_EQUAL(cluster.get(engine.address, "/control").value("started", 0), 0);
    cluster.post(engine.address, "/control", { { "fault", "" } });
    // The client disconnects; the gateway cancels the request when the engine has already started it.
    ClientAnswer dropped;
    {
        Client shortTimeoutClient({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey, .maximumTries = 1, .silenceLimit = Milliseconds(20) });
        dropped = shortTimeoutClient.chat({ .service = "planner", .prompt = "slot 15", .maximumTokens = 400 });
    }
    BOOST_REQUIRE(!dropped.requestId.empty());
    BOOST_CHECK(waitUntil([&] { return cluster.get(cluster.gateway(0).http, "/v1/explain/" + dropped.requestId).value("outcome", "") == "failed"; }));
    BOOST_CHECK_EQUAL(cluster.get(engine.address, "/control").value("cancelled", 0), 1);
}

BOOST_AUTO_TEST_CASE(a_repeat_where_the_home_cannot_be_asked_is_unknown)
{
    auto options = serviceSite();
    options.gatewayProxies = true;
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    auto& other = cluster.gateway(1);
    Client client({ .addresses = { home.http }, .key = Cluster::teamKey });
    cluster.post(cluster.service(), "/control", { { "hold", true } });
    const auto ticket = ticketFrom(cluster.gateway(0)).first;
    auto running = std::async(std::launch::async, [&] { return client.callOnce(home.http, "release", "/release", "{}", ticket); });
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(ticket) == 1; }));
    cluster.setPartitioned(home, true);
    // The first repeat is sent while the other node still considers the home alive, the second one when it considers the home dead.
    for (unsigned n = 0; n < 2; ++n) {
        auto repeat = client.callOnce(other.http, "release", "/release", "{}", ticket);
        BOOST_CHECK(repeat.outcome == RequestOutcome::Unknown);
        BOOST_REQUIRE(cluster.waitMemberState(other, home.instance + ".gateway", "dead"));
    }
    cluster.post(cluster.service(), "/control", { { "hold", false } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticket), 1);
    cluster.setPartitioned(home, false);
    // Once the connection is restored, the other node passes the repeat to the home again, and the client receives the home's answer.
    BOOST_CHECK(waitUntil([&] { return client.callOnce(other.http, "release", "/release", "{}", ticket).outcome == RequestOutcome::Completed; }));
    BOOST_CHECK_EQUAL(cluster.executionCount(ticket), 1);
}

BOOST_AUTO_TEST_SUITE_END()
