// Promise: an endpoint that is leaving receives no new work after a few seconds.
#include "tests/promises/promise_fixture.h"
#include <algorithm>
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds fewSeconds { 3000 };

// Callers that ask for short answers at every gateway, one after the other, until they are stopped.
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
    unsigned broken() const { return m_broken; }
    unsigned whole() const { return m_whole; }

    // Waits until every caller has ended the request that it is in now: it may have been given its endpoint before now.
    bool waitTurn() const
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
            bool whole = answer.outcome == RequestOutcome::Completed && answer.text == Fakes::expectedAnswer(Fakes::promptOf(prompt), 5);
            ++(whole ? m_whole : m_broken);
            ++m_ended[n];
            if (!whole)
                std::cerr << Json { { "prompt", prompt }, { "outcome", toString(answer.outcome) }, { "reason", answer.reason }, { "text", answer.text }, { "request", answer.requestId }, { "tries", answer.tries } }.dump() << std::endl;
        }
    }

    std::atomic<bool> m_stopping { false };
    std::atomic<unsigned> m_broken { 0 };
    std::atomic<unsigned> m_whole { 0 };
    std::vector<std::atomic<unsigned>> m_ended; // By caller.
    std::vector<std::thread> m_threads;
};

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

long startedAt(Cluster& cluster, const std::string& endpoint)
{
    return cluster.get(cluster.engineOf(endpoint)->address, "/control").value("started", 0L);
}

// Milliseconds from `since` to the moment at which a gateway knew the mark.
double markDelay(GatewayProcess& gateway, const std::string& endpoint, std::uint64_t since)
{
    auto line = gateway.process->waitLine([&](const std::string& it) { return it.find("\"endpoint_leaving\"") != std::string::npos && it.find("\"" + endpoint + "\"") != std::string::npos; }, fewSeconds * 3);
    BOOST_REQUIRE_MESSAGE(line, gateway.instance << " never learned that " << endpoint << " is leaving");
    auto time = Json::parse(*line)["time_ms"].get<std::uint64_t>();
    return static_cast<double>(time) - static_cast<double>(since);
}

void report(const std::string& what, std::vector<double> delays)
{
    std::sort(delays.begin(), delays.end());
    auto at = [&](double part) { return delays[static_cast<std::size_t>(part * static_cast<double>(delays.size() - 1))]; };
    std::cout << Json { { "what", what }, { "n", delays.size() }, { "p50_ms", at(0.5) }, { "p99_ms", at(0.99) }, { "max_ms", delays.back() } }.dump() << std::endl;
    BOOST_CHECK_LT(delays.back(), static_cast<double>(fewSeconds.count()));
}

// Reclaims the endpoints one after the other; checks that each gets no work once its mark is everywhere.
void reclaimOneByOne(Cluster& cluster, const std::string& what)
{
    SteadyLoad load(cluster);
    std::vector<double> delays;
    auto endpoints = loadedEndpoints(cluster, cluster.gateway(0));
    BOOST_REQUIRE_GE(endpoints.size(), 4);
    endpoints.resize(endpoints.size() - 1);
    for (const auto& it : endpoints) {
        BOOST_REQUIRE(waitUntil([&] { return startedAt(cluster, it) > 0; }));
        auto since = wallMilliseconds();
        Json wish { { "instances", Json::array({ it }) }, { "time_left_ms", 60000 } };
        cluster.post(cluster.cloud(), "/control/reclaim", wish);
        cluster.post(cluster.cloud(), "/control/reclaim", wish);
        for (auto& gateway : cluster.gateways())
            delays.push_back(markDelay(*gateway, it, since));
        // What was on its way to the engine when the mark came arrives; after that nothing may.
        BOOST_REQUIRE(load.waitTurn());
        auto before = startedAt(cluster, it);
        auto whole = load.whole();
        BOOST_REQUIRE(waitUntil([&] { return load.whole() >= whole + 60; }));
        BOOST_CHECK_EQUAL(startedAt(cluster, it), before);
    }
    load.stop();
    BOOST_CHECK_EQUAL(load.broken(), 0);
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
        cluster.cutOff(cluster.gateway(n), true);
    BOOST_REQUIRE(cluster.waitMemberState(cluster.gateway(1), cluster.gateway(0).instance + ".gateway", "dead"));
    reclaimOneByOne(cluster, "mark, half of the nodes cut off");
}

// The cloud's notice never comes: the instance list says it, late; the engine says it itself; an operator says it.
BOOST_AUTO_TEST_CASE(other_sources_than_the_notice)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(6));
    SteadyLoad load(cluster);
    auto endpoints = loadedEndpoints(cluster, cluster.gateway(0));
    std::vector<double> delays;
    auto since = wallMilliseconds();
    cluster.post(cluster.engineOf(endpoints[0])->address, "/control", { { "leaving", true } });
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
    BOOST_REQUIRE(load.waitTurn());
    auto before = startedAt(cluster, endpoints[1]);
    auto whole = load.whole();
    BOOST_REQUIRE(waitUntil([&] { return load.whole() >= whole + 60; }));
    BOOST_CHECK_EQUAL(startedAt(cluster, endpoints[1]), before);
    load.stop();
    BOOST_CHECK_EQUAL(load.broken(), 0);
}

BOOST_AUTO_TEST_SUITE_END()
