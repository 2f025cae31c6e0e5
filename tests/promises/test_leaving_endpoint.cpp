// Promise: an endpoint that is draining, because its instance is reclaimed, the engine reports it or an operator orders it, is marked as
// such at every gateway within 3 s and receives no new requests after that.
#include "tests/promises/promise_fixture.h"
#include <algorithm>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds drainMarkLimit { 3000 };

// Two clients per gateway, each on its own thread, that send short chat requests one after the other until they are stopped.
class SteadyLoad {
public:
    explicit SteadyLoad(Cluster& cluster)
        : m_ended(cluster.gateways().size() * 2)
    {
        for (std::size_t n = 0; n < cluster.gateways().size() * 2; ++n)
            m_threads.emplace_back([this, n, address = cluster.gateway(n % cluster.gateways().size()).http] { run(n, address); });
    }

    ~SteadyLoad() { stop(); }
    SteadyLoad(const SteadyLoad&) = delete;
    SteadyLoad& operator=(const SteadyLoad&) = delete;

    void stop()
    {
        m_stopping = true;
        for (auto& it : m_threads) {
            if (it.joinable())
                it.join();
        }
    }
    unsigned incomplete() const { return m_incomplete; }
    unsigned complete() const { return m_complete; }

    // Waits until every client has ended its current request, whose endpoint may have been chosen before this call.
    bool waitForCurrentRequests() const
    {
        std::vector<unsigned> before;
        for (const auto& it : m_ended)
            before.push_back(it);
        return waitUntil([&] {
            for (std::size_t n = 0; n < before.size(); ++n) {
                if (m_ended[n] == before[n])
                    return false;
            }
            return true;
        });
    }

private:
    void run(std::size_t n, const Address& address)
    {
        Client client({ .addresses = { address }, .key = Cluster::teamKey });
        for (unsigned round = 0; !m_stopping; ++round) {
            auto prompt = "slot " + std::to_string(n) + "." + std::to_string(round);
            auto answer = client.chat({ .service = "planner", .prompt = prompt, .maximumTokens = 5 });
            bool complete = answer.outcome == RequestOutcome::Completed && answer.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), 5);
            ++(complete ? m_complete : m_incomplete);
            ++m_ended[n];
            if (!complete)
                std::cerr << Json { { "prompt", prompt }, { "outcome", toString(answer.outcome) }, { "reason", answer.reason }, { "text", answer.text }, { "request", answer.requestId }, { "tries", answer.tries } }.dump() << std::endl;
        }
    }

    std::atomic<bool> m_stopping { false };
    std::atomic<unsigned> m_incomplete { 0 };
    std::atomic<unsigned> m_complete { 0 };
    std::vector<std::atomic<unsigned>> m_ended; // Ended requests, by client.
    std::vector<std::thread> m_threads;
};

// Ids of the endpoints that the gateway knows, have a model loaded and are not draining.
std::vector<std::string> loadedEndpoints(const Cluster& cluster, const GatewayProcess& gateway)
{
    std::vector<std::string> ids;
    auto status = cluster.status(gateway);
    for (const auto& it : status["endpoints"]) {
        if (!it["leaving"].get<bool>() && !it["model"].get<std::string>().empty())
            ids.push_back(it["id"]);
    }
    return ids;
}

// How many requests the engine of that endpoint has started.
long startedRequests(Cluster& cluster, const std::string& endpoint)
{
    return cluster.get(cluster.findEngine(endpoint)->address, "/control").value("started", 0L);
}

// Milliseconds from `since` (wall clock) until the gateway logged that the endpoint is draining.
double markDelay(GatewayProcess& gateway, const std::string& endpoint, std::uint64_t since)
{
    auto line = gateway.process->waitLine([&](const std::string& it) { return it.find("\"endpoint_leaving\"") != std::string::npos && it.find("\"" + endpoint + "\"") != std::string::npos; }, drainMarkLimit * 3);
    BOOST_REQUIRE_MESSAGE(line, gateway.instance << " never learned that " << endpoint << " is leaving");
    auto time = Json::parse(*line)["time_ms"].get<std::uint64_t>();
    return static_cast<double>(time) - static_cast<double>(since);
}

// Prints the distribution of the delays and checks that the longest is below 3 s.
void report(const std::string& what, std::vector<double> delays)
{
    std::sort(delays.begin(), delays.end());
    auto at = [&](double part) { return delays[static_cast<std::size_t>(part * static_cast<double>(delays.size() - 1))]; };
    std::cout << Json { { "what", what }, { "n", delays.size() }, { "p50_ms", at(0.5) }, { "p99_ms", at(0.99) }, { "max_ms", delays.back() } }.dump() << std::endl;
    BOOST_CHECK_LT(delays.back(), static_cast<double>(drainMarkLimit.count()));
}

// Reclaims all endpoints but one, one after the other, each notice sent twice. Checks that an endpoint gets no new request once all
// gateways have marked it as draining.
void reclaimOneByOne(Cluster& cluster, const std::string& what)
{
    SteadyLoad load(cluster);
    std::vector<double> delays;
    auto endpoints = loadedEndpoints(cluster, cluster.gateway(0));
    BOOST_REQUIRE_GE(endpoints.size(), 4);
    endpoints.resize(endpoints.size() - 1);
    for (const auto& it : endpoints) {
        BOOST_REQUIRE(waitUntil([&] { return startedRequests(cluster, it) > 0; }));
        auto since = wallMilliseconds();
        Json reclaimNotice { { "instances", Json::array({ it }) }, { "time_left_ms", 60000 } };
        cluster.post(cluster.cloud(), "/control/reclaim", reclaimNotice);
        cluster.post(cluster.cloud(), "/control/reclaim", reclaimNotice);
        for (auto& gateway : cluster.gateways())
            delays.push_back(markDelay(*gateway, it, since));
        // Requests that were sent before the mark may still arrive; after those have ended, no request may.
        BOOST_REQUIRE(load.waitForCurrentRequests());
        auto before = startedRequests(cluster, it);
        auto complete = load.complete();
        BOOST_REQUIRE(waitUntil([&] { return load.complete() >= complete + 60; }));
        BOOST_CHECK_EQUAL(startedRequests(cluster, it), before);
    }
    load.stop();
    BOOST_CHECK_EQUAL(load.incomplete(), 0);
    report(what, delays);
}

ClusterOptions site()
{
    return { .gatewaysPerZone = 2, .enginesPerZone = 2, .engineArguments = { "--token-us", "1000" } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(LeavingEndpoint)

BOOST_AUTO_TEST_CASE(in_calm_with_each_notice_given_twice)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(6));
    reclaimOneByOne(cluster, "mark, calm");
}

BOOST_AUTO_TEST_CASE(the_object_service_is_down)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(6));
    cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
    reclaimOneByOne(cluster, "mark, object service down");
}

BOOST_AUTO_TEST_CASE(half_of_the_nodes_are_cut_off)
{
    auto options = site();
    options.gatewayProxies = true;
    Cluster cluster(options);
    BOOST_REQUIRE(cluster.deploy(6));
    for (std::size_t n = 0; n < cluster.gateways().size(); n += 2)
        cluster.setPartitioned(cluster.gateway(n), true);
    BOOST_REQUIRE(cluster.waitMemberState(cluster.gateway(1), cluster.gateway(0).instance + ".gateway", "dead"));
    reclaimOneByOne(cluster, "mark, half of the nodes cut off");
}

// The cloud sends no notice, and the instance list would report the drain late. The gateways learn of it from the engine's own report or
// from an operator's drain object.
BOOST_AUTO_TEST_CASE(a_drain_by_engine_report_or_by_operator)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(6));
    SteadyLoad load(cluster);
    auto endpoints = loadedEndpoints(cluster, cluster.gateway(0));
    std::vector<double> delays;
    auto since = wallMilliseconds();
    cluster.post(cluster.findEngine(endpoints[0])->address, "/control", { { "leaving", true } });
    for (auto& gateway : cluster.gateways())
        delays.push_back(markDelay(*gateway, endpoints[0], since));
    report("mark, by the engine's report", delays);
    BOOST_CHECK_EQUAL(runProgram("onyxnotch", { "drain", endpoints[1], "--objects", cluster.objects().text() }).exitCode, 0);
    BOOST_REQUIRE(waitUntil([&] {
        for (const auto& it : cluster.gateways()) {
            if (cluster.status(*it).value("configuration_version", 0) < 2)
                return false;
        }
        return true;
    }));
    BOOST_REQUIRE(load.waitForCurrentRequests());
    auto before = startedRequests(cluster, endpoints[1]);
    auto complete = load.complete();
    BOOST_REQUIRE(waitUntil([&] { return load.complete() >= complete + 60; }));
    BOOST_CHECK_EQUAL(startedRequests(cluster, endpoints[1]), before);
    load.stop();
    BOOST_CHECK_EQUAL(load.incomplete(), 0);
}

BOOST_AUTO_TEST_SUITE_END()
