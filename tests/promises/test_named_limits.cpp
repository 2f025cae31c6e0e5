// Promise: if an endpoint advertises how many requests per second it accepts, all gateways together send it no more, apart from a
// tolerance, and use at least half of it.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settleTime { 3000 }; // Time until all gateways apply the limit after the endpoint first advertised it.
constexpr Milliseconds window { 4000 }; // Time over which requests are counted.
constexpr double limitPerSecond = 2;
constexpr long maximumRequests = static_cast<long>(1.5 * limitPerSecond * 4 + 5);
constexpr long minimumRequests = static_cast<long>(limitPerSecond * 4 / 2);

// Calls `sendRequest` repeatedly until the time `until`.
void repeatUntil(const std::function<void()>& sendRequest, SteadyTime until)
{
    while (steadyNow() < until)
        sendRequest();
}

} // namespace

BOOST_AUTO_TEST_SUITE(NamedLimits)

BOOST_AUTO_TEST_CASE(a_plain_service_gets_no_more_than_its_limit_through_two_gateways)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 1 });
    BOOST_REQUIRE(cluster.deploy(1));
    cluster.post(cluster.service(), "/control", { { "limit", "2" } });
    Client client({ .addresses = { cluster.gateway(0).http, cluster.gateway(1).http }, .key = Cluster::teamKey });
    auto executedRequests = [&] {
        long sum = 0;
        for (const auto& [id, runs] : cluster.serviceRuns())
            sum += runs;
        return sum;
    };
    auto sendRequest = [&] {
        BOOST_REQUIRE(client.refreshAddresses(1));
        auto ticket = client.takeTicket();
        BOOST_REQUIRE(ticket);
        auto answer = client.callOnce(ticket->second, "release", "/release", "{}", ticket->first);
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed || answer.outcome == RequestOutcome::NotRun);
    };
    auto start = steadyNow();
    repeatUntil(sendRequest, start + settleTime);
    auto before = executedRequests();
    repeatUntil(sendRequest, start + settleTime + window);
    auto executed = executedRequests() - before;
    BOOST_CHECK_LE(executed, maximumRequests);
    BOOST_CHECK_GE(executed, minimumRequests);
}

BOOST_AUTO_TEST_CASE(an_engine_gets_no_more_than_its_limit_and_others_serve)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 1, .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(2));
    auto& limited = cluster.engines().front();
    cluster.post(limited.address, "/control", { { "limit", "2" } });
    Client client({ .addresses = { cluster.gateway(0).http, cluster.gateway(1).http }, .key = Cluster::teamKey });
    int n = 0;
    auto sendRequest = [&] {
        auto answer = client.chat({ .service = "planner", .prompt = "lot " + std::to_string(++n), .maximumTokens = 1 }, [](const std::string&) {});
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed);
    };
    auto started = [&] { return cluster.get(limited.address, "/control").value("started", 0L); };
    auto start = steadyNow();
    repeatUntil(sendRequest, start + settleTime);
    auto before = started();
    auto sentBefore = n;
    repeatUntil(sendRequest, start + settleTime + window);
    BOOST_CHECK_LE(started() - before, maximumRequests);
    // The engine without a limit serves all other requests.
    BOOST_CHECK_GT(n - sentBefore, 2 * maximumRequests);
}

BOOST_AUTO_TEST_SUITE_END()
