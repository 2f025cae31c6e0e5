// Promise: an endpoint that names how many requests a second it takes from all gateways together gets no more.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds settled { 3000 }; // After the first word.
constexpr Milliseconds span { 4000 };
constexpr double perSecond = 2;
constexpr long allowed = static_cast<long>(1.5 * perSecond * 4 + 5);
constexpr long wellUsed = static_cast<long>(perSecond * 4 / 2);

void askUntil(const std::function<void()>& ask, SteadyTime until)
{
    while (steadyNow() < until)
        ask();
}

} // namespace

BOOST_AUTO_TEST_SUITE(NamedLimits)

BOOST_AUTO_TEST_CASE(a_plain_service_gets_no_more_through_two_gateways)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 1 });
    BOOST_REQUIRE(cluster.deploy(1));
    cluster.post(cluster.service(), "/control", { { "limit", "2" } });
    Client client({ .addresses = { cluster.gateway(0).http, cluster.gateway(1).http }, .key = Cluster::teamKey });
    auto ran = [&] {
        long sum = 0;
        for (const auto& [id, runs] : cluster.serviceRuns())
            sum += runs;
        return sum;
    };
    auto ask = [&] {
        BOOST_REQUIRE(client.refreshAddresses(1));
        auto ticket = client.takeTicket();
        BOOST_REQUIRE(ticket);
        auto answer = client.callOnce(ticket->second, "release", "/release", "{}", ticket->first);
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed || answer.outcome == RequestOutcome::NotRun);
    };
    auto start = steadyNow();
    askUntil(ask, start + settled);
    auto before = ran();
    askUntil(ask, start + settled + span);
    auto got = ran() - before;
    BOOST_CHECK_LE(got, allowed);
    BOOST_CHECK_GE(got, wellUsed);
}

BOOST_AUTO_TEST_CASE(an_engine_gets_no_more_and_others_serve)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 2, .controllers = 1, .enginesPerZone = 2 });
    BOOST_REQUIRE(cluster.deploy(2));
    auto& limited = cluster.engines().front();
    cluster.post(limited.address, "/control", { { "limit", "2" } });
    Client client({ .addresses = { cluster.gateway(0).http, cluster.gateway(1).http }, .key = Cluster::teamKey });
    int n = 0;
    auto ask = [&] {
        auto answer = client.chat({ .service = "planner", .prompt = "lot " + std::to_string(++n), .maximumTokens = 1 }, [](const std::string&) {});
        BOOST_CHECK(answer.outcome == RequestOutcome::Completed);
    };
    auto started = [&] { return cluster.get(limited.address, "/control").value("started", 0L); };
    auto start = steadyNow();
    askUntil(ask, start + settled);
    auto before = started();
    auto askedBefore = n;
    askUntil(ask, start + settled + span);
    BOOST_CHECK_LE(started() - before, allowed);
    // The other one serves as many as are asked.
    BOOST_CHECK_GT(n - askedBefore, 2 * allowed);
}

BOOST_AUTO_TEST_SUITE_END()
