// Promise: an accepted configuration is in force at every gateway within 3 s, and no gateway ever returns to an older one.
#include "tests/promises/promise_fixture.h"
#include <thread>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr Milliseconds inForceLimit { 3000 };

Json drainObject(const std::string& name, const std::string& instance)
{
    return { { "kind", "Drain" }, { "name", name }, { "spec", { { "instance", instance } } } };
}

RunResult applyObject(const Cluster& cluster, const std::string& file, const Json& object, const std::vector<std::string>& extraArguments = {})
{
    std::vector<std::string> arguments { "apply", cluster.writeFile(file, Json { { "objects", Json::array({ object }) } }.dump()), "--objects", cluster.objects().text() };
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    return runProgram("onyxnotch", arguments);
}

std::uint64_t versionAt(const Cluster& cluster, const GatewayProcess& gateway)
{
    return cluster.get(gateway.http, "/readyz").value("configuration_version", std::uint64_t(0));
}

bool waitVersion(Cluster& cluster, std::uint64_t version, Milliseconds limit = inForceLimit)
{
    return waitUntil([&] { return std::all_of(cluster.gateways().begin(), cluster.gateways().end(), [&](const auto& it) { return versionAt(cluster, *it) >= version; }); }, limit);
}

std::uint64_t storedVersion(const Cluster& cluster)
{
    auto result = runProgram("onyxnotch", { "get", "Drain", "--objects", cluster.objects().text() });
    return Json::parse(result.output).value("version", std::uint64_t(0));
}

// Polls the configuration version of every gateway on its own thread and records whether any version ever decreases.
class VersionWatch {
public:
    explicit VersionWatch(Cluster& cluster)
        : m_thread([this, &cluster] { run(cluster); })
    {
    }
    ~VersionWatch() { stop(); }
    VersionWatch(const VersionWatch&) = delete;
    VersionWatch& operator=(const VersionWatch&) = delete;

    // Ends the polling. True if a version decreased.
    bool stop()
    {
        m_stopping = true;
        if (m_thread.joinable())
            m_thread.join();
        return m_hasDecreased;
    }

private:
    void run(Cluster& cluster)
    {
        std::map<std::string, std::uint64_t> highest;
        while (!m_stopping) {
            for (const auto& it : cluster.gateways()) {
                auto version = versionAt(cluster, *it);
                m_hasDecreased = m_hasDecreased || version < highest[it->instance];
                highest[it->instance] = std::max(highest[it->instance], version);
            }
        }
    }

    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_hasDecreased { false };
    std::thread m_thread;
};

ClusterOptions site(bool proxies = false)
{
    return { .gatewaysPerZone = 2, .controllers = 1, .gatewayProxies = proxies };
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationInForce)

BOOST_AUTO_TEST_CASE(operators_race_on_the_same_object_and_on_different_ones)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    VersionWatch watch(cluster);
    auto base = storedVersion(cluster);
    std::vector<std::future<RunResult>> same;
    for (unsigned n = 0; n < 6; ++n)
        same.push_back(std::async(std::launch::async, [&, n] { return applyObject(cluster, "same" + std::to_string(n), drainObject("shared", "i-" + std::to_string(n)), { "--if-version", std::to_string(base) }); }));
    unsigned accepted = 0;
    for (auto& it : same) {
        auto result = it.get();
        accepted += result.exitCode == 0 ? 1 : 0;
        BOOST_CHECK_MESSAGE(result.exitCode == 0 || result.exitCode == 4, result.exitCode << ": " << result.output);
    }
    BOOST_CHECK_EQUAL(accepted, 1);
    std::vector<std::future<RunResult>> different;
    for (unsigned n = 0; n < 6; ++n)
        different.push_back(std::async(std::launch::async, [&, n] { return applyObject(cluster, "own" + std::to_string(n), drainObject("own-" + std::to_string(n), "i-x")); }));
    for (auto& it : different)
        BOOST_CHECK_EQUAL(it.get().exitCode, 0);
    BOOST_CHECK_EQUAL(storedVersion(cluster), base + 7);
    BOOST_CHECK(waitVersion(cluster, base + 7));
    BOOST_CHECK(!watch.stop());
}

BOOST_AUTO_TEST_CASE(the_answer_is_lost_after_the_change_took_effect)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto base = storedVersion(cluster);
    cluster.post(cluster.objects(), "/control", { { "mode", "lose_write_answers" }, { "path", "config/changes" }, { "count", 1 } });
    auto result = applyObject(cluster, "lost", drainObject("lost", "i-9"));
    BOOST_CHECK_EQUAL(result.exitCode, 0);
    BOOST_CHECK_EQUAL(storedVersion(cluster), base + 1);
    BOOST_CHECK(waitVersion(cluster, base + 1));
}

BOOST_AUTO_TEST_CASE(a_bad_declaration_changes_nothing)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto base = storedVersion(cluster);
    Json bad { { "objects", Json::array({ drainObject("good", "i-1"), { { "kind", "Team" }, { "name", "t" }, { "spec", { { "keyDigests", { "zz" } } } } } }) } };
    auto result = cluster.apply(bad);
    BOOST_CHECK_EQUAL(result.exitCode, 3);
    BOOST_CHECK_MESSAGE(result.output.find("/objects/1/spec/keyDigests/0") != std::string::npos, result.output);
    BOOST_CHECK_EQUAL(storedVersion(cluster), base);
}

BOOST_AUTO_TEST_CASE(the_object_service_is_down_and_slow)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    auto base = storedVersion(cluster);
    VersionWatch watch(cluster);
    cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
    auto refused = applyObject(cluster, "down", drainObject("down", "i-1"));
    BOOST_CHECK_MESSAGE(refused.exitCode == 5 || refused.exitCode == 6, refused.exitCode);
    // A node that starts during the outage takes the configuration from its peers, and serves clients.
    auto& late = cluster.startGateway("kushiro-hall-late", "kushiro-hall");
    BOOST_CHECK(waitUntil([&] { return cluster.get(late.http, "/readyz").value("ready", false); }, inForceLimit));
    BOOST_CHECK_EQUAL(versionAt(cluster, late), base);
    Client client({ .addresses = { late.http }, .key = Cluster::teamKey });
    BOOST_CHECK(client.chat({ .service = "planner", .prompt = "during the outage", .maximumTokens = 5 }).outcome == RequestOutcome::Completed);
    cluster.post(cluster.objects(), "/control", { { "mode", "slow" }, { "delay_ms", 300 } });
    BOOST_CHECK_EQUAL(applyObject(cluster, "slow", drainObject("slow", "i-2")).exitCode, 0);
    BOOST_CHECK(waitVersion(cluster, base + 1, Milliseconds(18000)));
    BOOST_CHECK(!watch.stop());
}

BOOST_AUTO_TEST_CASE(a_node_with_nobody_to_ask_is_not_ready)
{
    Cluster cluster({ .zones = { "kushiro-hall" }, .gatewaysPerZone = 0, .controllers = 0 });
    BOOST_REQUIRE_EQUAL(cluster.apply(cluster.declaration(1)).exitCode, 0);
    cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
    auto& alone = cluster.startGateway("kushiro-hall-1", "kushiro-hall");
    BOOST_CHECK(!cluster.get(alone.http, "/readyz").value("ready", true));
    BOOST_CHECK(cluster.get(alone.http, "/healthz").value("alive", false));
    cluster.post(cluster.objects(), "/control", Json::object());
    BOOST_CHECK(waitUntil([&] { return cluster.get(alone.http, "/readyz").value("ready", false); }, Milliseconds(18000)));
}

BOOST_AUTO_TEST_CASE(a_node_that_was_cut_off_catches_up_and_spreads_nothing_old)
{
    Cluster cluster(site(true));
    BOOST_REQUIRE(cluster.deploy(1));
    VersionWatch watch(cluster);
    auto base = storedVersion(cluster);
    auto& cut = cluster.gateway(0);
    BOOST_REQUIRE(cut.process->freeze());
    for (unsigned n = 1; n <= 3; ++n)
        BOOST_CHECK_EQUAL(applyObject(cluster, "n" + std::to_string(n), drainObject("n" + std::to_string(n), "i-1")).exitCode, 0);
    BOOST_CHECK(waitUntil([&] { return versionAt(cluster, cluster.gateway(1)) == base + 3; }, inForceLimit));
    cut.process->thaw();
    BOOST_CHECK(waitVersion(cluster, base + 3));
    BOOST_CHECK(!watch.stop());
}

BOOST_AUTO_TEST_CASE(the_time_until_a_change_is_in_force)
{
    Cluster cluster(site());
    BOOST_REQUIRE(cluster.deploy(1));
    std::vector<double> delays;
    for (unsigned n = 0; n < 12; ++n) {
        auto base = storedVersion(cluster);
        BOOST_REQUIRE_EQUAL(applyObject(cluster, "t" + std::to_string(n), drainObject("t", "i-" + std::to_string(n))).exitCode, 0);
        auto accepted = steadyNow();
        BOOST_REQUIRE(waitVersion(cluster, base + 1));
        delays.push_back(std::chrono::duration<double, std::milli>(steadyNow() - accepted).count());
    }
    std::sort(delays.begin(), delays.end());
    std::cout << Json { { "what", "configuration in force at 6 gateways" }, { "n", delays.size() }, { "p50_ms", delays[delays.size() / 2] }, { "max_ms", delays.back() } }.dump() << std::endl;
}

BOOST_AUTO_TEST_SUITE_END()
