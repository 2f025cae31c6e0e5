// Promise: a request that may not be repeated is executed at most once, whichever gateways receive copies of it and whatever fails.
// A ticket identifies the request; the gateway that issued the ticket is its home.
#include "tests/promises/promise_fixture.h"

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

ClusterOptions site(Json gatewaySettings = Json::object(), bool proxies = false)
{
    return { .zones = { "kushiro-hall", "nemuro-hall", "obihiro-hall" }, .controllers = 1, .gatewayProxies = proxies, .gatewaySettings = std::move(gatewaySettings) };
}

// A client with a ticket issued by the gateway `home`; it may send the request to any gateway.
struct TicketClient {
    explicit TicketClient(const GatewayProcess& home)
        : client({ .addresses = { home.http }, .key = Cluster::teamKey })
    {
        BOOST_REQUIRE(client.refreshAddresses(1));
        ticket = client.takeTicket()->first;
    }

    ClientAnswer send(const GatewayProcess& gateway) { return client.callOnce(gateway.http, "release", "/release", R"({"pallet":7})", ticket); }
    std::future<ClientAnswer> sendInBackground(const GatewayProcess& gateway)
    {
        return std::async(std::launch::async, [this, &gateway] { return send(gateway); });
    }

    Client client;
    std::string ticket;
};

// While true, the plain service executes requests but delays their answers.
void setAnswersHeld(const Cluster& cluster, bool held) { cluster.post(cluster.service(), "/control", { { "hold", held } }); }

} // namespace

BOOST_AUTO_TEST_SUITE(AtMostOnce)

BOOST_AUTO_TEST_CASE(a_call_without_a_ticket_is_refused_with_a_fresh_one)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    Client client({ .addresses = { cluster.gateway(0).http }, .key = Cluster::teamKey });
    auto refused = client.callOnce(cluster.gateway(0).http, "release", "/release", "{}", {});
    BOOST_CHECK(refused.outcome == RequestOutcome::NotRun);
    BOOST_CHECK_EQUAL(refused.httpStatus, 428);
    BOOST_CHECK(cluster.serviceRuns().empty());
}

BOOST_AUTO_TEST_CASE(the_same_request_at_every_address_at_once)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    for (unsigned round = 0; round < 5; ++round) {
        TicketClient ticketClient(cluster.gateway(round % 3));
        std::vector<std::future<ClientAnswer>> answers;
        for (unsigned n = 0; n < 9; ++n)
            answers.push_back(ticketClient.sendInBackground(cluster.gateway(n % 3)));
        for (auto& it : answers) {
            auto answer = it.get();
            BOOST_CHECK_MESSAGE(answer.outcome == RequestOutcome::Completed, answer.reason);
            BOOST_CHECK(answer.text.find(R"("ran":1)") != std::string::npos);
        }
        BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
        // No copy was executed under another id either.
        BOOST_CHECK_EQUAL(cluster.serviceRuns().size(), round + 1);
    }
}

BOOST_AUTO_TEST_CASE(another_team_cannot_use_the_ticket)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    TicketClient ticketClient(cluster.gateway(0));
    Client stranger({ .addresses = { cluster.gateway(0).http }, .key = Cluster::otherTeamKey });
    BOOST_CHECK_EQUAL(stranger.callOnce(cluster.gateway(0).http, "release", "/release", "{}", ticketClient.ticket).httpStatus, 403);
    BOOST_CHECK_EQUAL(stranger.callOnce(cluster.gateway(1).http, "release", "/release", "{}", ticketClient.ticket).httpStatus, 403);
    BOOST_CHECK(ticketClient.send(cluster.gateway(0)).outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
}

BOOST_AUTO_TEST_CASE(the_home_is_killed_and_a_new_process_starts_in_its_place)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    TicketClient ticketClient(cluster.gateway(0));
    setAnswersHeld(cluster, true);
    auto running = ticketClient.sendInBackground(cluster.gateway(0));
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(ticketClient.ticket) == 1; }));
    cluster.gateway(0).process->kill();
    BOOST_CHECK(running.get().outcome == RequestOutcome::Unknown);
    BOOST_CHECK(ticketClient.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    auto& next = cluster.startGateway(cluster.gateway(0).instance, cluster.gateway(0).zone);
    setAnswersHeld(cluster, false);
    BOOST_CHECK(ticketClient.send(next).outcome == RequestOutcome::Unknown);
    BOOST_CHECK(waitUntil([&] { return ticketClient.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown; }));
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
}

BOOST_AUTO_TEST_CASE(the_home_is_frozen_past_the_expiry_and_woken)
{
    Cluster cluster(site({ { "ticketLifetimeMs", 1500 } }));
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient used(home);
    TicketClient unused(home);
    setAnswersHeld(cluster, true);
    auto running = used.sendInBackground(home);
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(used.ticket) == 1; }));
    auto issuedAt = steadyNow();
    BOOST_REQUIRE(home.process->freeze());
    // This request waits in the socket of the suspended home.
    auto waiting = unused.sendInBackground(home);
    BOOST_REQUIRE(cluster.waitMemberState(cluster.gateway(1), home.instance + ".gateway", "dead"));
    BOOST_CHECK(used.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    BOOST_CHECK(unused.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    waitUntil([&] { return steadyNow() - issuedAt > Milliseconds(1700); });
    home.process->thaw();
    setAnswersHeld(cluster, false);
    BOOST_CHECK(waiting.get().outcome == RequestOutcome::Unknown);
    BOOST_CHECK(running.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK(waitUntil([&] { return used.send(cluster.gateway(1)).outcome == RequestOutcome::Completed; }));
    BOOST_CHECK_EQUAL(cluster.executionCount(used.ticket), 1);
    BOOST_CHECK_EQUAL(cluster.executionCount(unused.ticket), 0);
}

BOOST_AUTO_TEST_CASE(the_home_is_cut_off_one_way)
{
    Cluster cluster(site(Json::object(), true));
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient ticketClient(home);
    // The home still sends, but receives nothing from other nodes.
    cluster.setPartitioned(home, true);
    BOOST_REQUIRE(cluster.waitMemberState(cluster.gateway(1), home.instance + ".gateway", "dead"));
    BOOST_CHECK(ticketClient.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    BOOST_CHECK(ticketClient.send(home).outcome == RequestOutcome::Completed);
    BOOST_CHECK(ticketClient.send(cluster.gateway(2)).outcome == RequestOutcome::Unknown);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
}

BOOST_AUTO_TEST_CASE(handover_and_repeats_race)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    std::vector<std::unique_ptr<TicketClient>> ticketClients;
    for (unsigned n = 0; n < 24; ++n)
        ticketClients.push_back(std::make_unique<TicketClient>(home));
    std::vector<std::future<ClientAnswer>> answers;
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ home.instance }) }, { "time_left_ms", 2000 } });
    for (const auto& it : ticketClients) {
        for (std::size_t n = 0; n < 3; ++n)
            answers.push_back(it->sendInBackground(cluster.gateway(n)));
    }
    std::map<std::string, bool> reportedNotRun;
    for (auto& it : answers) {
        auto answer = it.get();
        // Status 0 means that this copy never reached a gateway: such a result says nothing about the other copies.
        reportedNotRun[answer.requestId] |= answer.outcome == RequestOutcome::NotRun && answer.httpStatus != 0;
    }
    home.process->wait(longWait);
    unsigned completed = 0;
    for (const auto& it : ticketClients) {
        auto last = it->send(cluster.gateway(1));
        completed += last.outcome == RequestOutcome::Completed ? 1 : 0;
        auto runs = cluster.executionCount(it->ticket);
        BOOST_CHECK_LE(runs, 1);
        BOOST_CHECK(!(reportedNotRun[it->ticket] && runs > 0));
    }
    // The successor took over the ledger, so it can repeat the answers.
    BOOST_CHECK_EQUAL(completed, ticketClients.size());
}

// The successor takes over the ledger, but its reply to the old home is lost. The old home must not hand the ledger to a second node; the
// other nodes learn from the successor who has it.
BOOST_AUTO_TEST_CASE(the_answer_to_a_handover_is_lost)
{
    Cluster cluster(site({ { "handoverTimeoutMs", 300 } }, true));
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient used(home);
    TicketClient unused(home);
    BOOST_CHECK(used.send(home).outcome == RequestOutcome::Completed);
    for (std::size_t n : { 1, 2 })
        cluster.setFault(cluster.gateway(n).peerForward, { { "drop_down", true } });
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ home.instance }) }, { "time_left_ms", 3000 } });
    auto offered = home.process->waitEvent("ledgers_offered", longWait);
    BOOST_REQUIRE(offered);
    BOOST_CHECK(offered->find("unclear") != std::string::npos);
    home.process->wait(longWait);
    for (std::size_t n : { 1, 2 }) {
        BOOST_CHECK(used.send(cluster.gateway(n)).outcome == RequestOutcome::Completed);
        BOOST_CHECK(unused.send(cluster.gateway(n)).outcome == RequestOutcome::Completed);
    }
    BOOST_CHECK_EQUAL(cluster.executionCount(used.ticket), 1);
    BOOST_CHECK_EQUAL(cluster.executionCount(unused.ticket), 1);
    BOOST_CHECK_EQUAL(cluster.serviceRuns().size(), 2);
}

BOOST_AUTO_TEST_CASE(the_service_answers_after_the_caller_gave_up)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient ticketClient(home);
    setAnswersHeld(cluster, true);
    Client shortTimeoutClient({ .addresses = { home.http }, .key = Cluster::teamKey, .silenceLimit = Milliseconds(300) });
    BOOST_CHECK(shortTimeoutClient.callOnce(home.http, "release", "/release", R"({"pallet":7})", ticketClient.ticket).outcome == RequestOutcome::Unknown);
    setAnswersHeld(cluster, false);
    auto repeat = ticketClient.send(cluster.gateway(2));
    BOOST_CHECK(repeat.outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
}

BOOST_AUTO_TEST_CASE(a_call_in_flight_when_its_gateway_leaves)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient inFlight(home);
    TicketClient notSent(home);
    setAnswersHeld(cluster, true);
    auto first = inFlight.sendInBackground(home);
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(inFlight.ticket) == 1; }));
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ home.instance }) }, { "time_left_ms", 3000 } });
    BOOST_REQUIRE(home.process->waitEvent("ledgers_offered", longWait));
    // The call ends before the notice expires: the client receives its answer, and the successor receives the ledger entry.
    setAnswersHeld(cluster, false);
    BOOST_CHECK(first.get().outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(home.process->wait(longWait).value_or(-1), 0);
    BOOST_CHECK(inFlight.send(cluster.gateway(1)).outcome == RequestOutcome::Completed);
    BOOST_CHECK(notSent.send(cluster.gateway(1)).outcome == RequestOutcome::Completed);
    BOOST_CHECK_EQUAL(cluster.executionCount(inFlight.ticket), 1);
    BOOST_CHECK_EQUAL(cluster.executionCount(notSent.ticket), 1);
}

BOOST_AUTO_TEST_CASE(a_call_that_outlasts_the_notice_is_unknown)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto& home = cluster.gateway(0);
    TicketClient ticketClient(home);
    setAnswersHeld(cluster, true);
    auto running = ticketClient.sendInBackground(home);
    BOOST_REQUIRE(waitUntil([&] { return cluster.executionCount(ticketClient.ticket) == 1; }));
    cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ home.instance }) }, { "time_left_ms", 1500 } });
    BOOST_CHECK(running.get().outcome == RequestOutcome::Unknown);
    home.process->wait(longWait);
    BOOST_CHECK(ticketClient.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    setAnswersHeld(cluster, false);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 1);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket)
{
    Cluster cluster(site({ { "ticketLifetimeMs", 100 } }));
    BOOST_REQUIRE(cluster.deploy(1));
    TicketClient ticketClient(cluster.gateway(0));
    auto issuedAt = steadyNow();
    waitUntil([&] { return steadyNow() - issuedAt > Milliseconds(150); });
    BOOST_CHECK(ticketClient.send(cluster.gateway(0)).outcome == RequestOutcome::Unknown);
    BOOST_CHECK(ticketClient.send(cluster.gateway(1)).outcome == RequestOutcome::Unknown);
    BOOST_CHECK_EQUAL(cluster.executionCount(ticketClient.ticket), 0);
}

BOOST_AUTO_TEST_SUITE_END()
