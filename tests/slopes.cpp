// Measures how the resource use of a node scales, for docs/CAPACITY.md. Prints one JSON line per data point, and the fitted slope of each
// series with its residual. Run by misc/slopes.sh.
#include "core/digest.h"
#include "core/net/http_client.h"
#include "tests/entry_slopes.h"
#include "tests/harness/cluster.h"
#include "tests/harness/series.h"
#include <algorithm>
#include <future>
#include <iostream>
#include <thread>

namespace {

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

// Production settings; the defaults of the test harness use shorter periods.
Json productionMembership() { return { { "probePeriodMs", 1000 }, { "probeTimeoutMs", 400 }, { "suspicionMs", 3000 } }; }

ClusterOptions clusterOptions(unsigned perZone)
{
    ClusterOptions options { .gatewaysPerZone = perZone, .controllers = 1 };
    options.gatewaySettings = { { "httpThreads", 8 }, { "membership", productionMembership() } };
    options.controllerSettings = { { "membership", productionMembership() } };
    return options;
}

double sumMetric(const Cluster& cluster, std::vector<std::unique_ptr<GatewayProcess>>& gateways, const std::string& name)
{
    double sum = 0;
    for (const auto& it : gateways)
        sum += cluster.metric(*it, name);
    return sum;
}

void sleepFor(Milliseconds duration) { std::this_thread::sleep_for(duration); }

long objectCalls(const Cluster& cluster)
{
    auto counts = cluster.get(cluster.objects(), "/control");
    return counts.value("read", 0L) + counts.value("write", 0L);
}

// Measures resource use and propagation times for different numbers of nodes.
void measureNodes()
{
    Series bytes("gossip bytes sent a second by a member in calm, against members", "bytes/s");
    Series joinBytes("gossip bytes sent a second by a member while all are new, against members", "bytes/s");
    Series messages("gossip messages sent a second by a node, against nodes", "1/s");
    Series cpu("processor time of an idle gateway, against nodes", "part of a core");
    Series memory("resident memory of an idle gateway, against nodes", "MB");
    Series calls("object API calls a second of all nodes in calm, against nodes", "1/s");
    Series outage("object API calls a second of all nodes in an outage, against nodes", "1/s");
    Series recovery("object API calls in the second after an outage, against nodes", "1/s");
    Series configurationDelay("time until a change is in force everywhere, against nodes", "ms");
    Series drainMarkDelay("time until a leaving mark is everywhere, against nodes", "ms");
    static constexpr Milliseconds window { 5000 };
    for (unsigned perZone : { 3U, 9U, 20U }) {
        Cluster cluster(clusterOptions(perZone));
        auto& gateways = cluster.gateways();
        double nodes = static_cast<double>(gateways.size()) + 1;
        if (!cluster.deploy(3))
            return;
        auto seconds = std::chrono::duration<double>(window).count();
        // All nodes have just joined, which causes the maximum amount of gossip.
        auto bytesBefore = sumMetric(cluster, gateways, "onyxnotch_gossip_bytes_sent_total");
        sleepFor(window);
        joinBytes.add(nodes, (sumMetric(cluster, gateways, "onyxnotch_gossip_bytes_sent_total") - bytesBefore) / seconds / static_cast<double>(gateways.size()));
        sleepFor(Milliseconds(700) * static_cast<int>(gateways.size())); // Wait until the membership updates have reached all nodes.
        bytesBefore = sumMetric(cluster, gateways, "onyxnotch_gossip_bytes_sent_total");
        auto messagesBefore = sumMetric(cluster, gateways, "onyxnotch_gossip_messages_sent_total");
        auto callsBefore = objectCalls(cluster);
        auto cpuBefore = cpuSeconds(gateways.back()->process->pid());
        sleepFor(window);
        cpu.add(nodes, (cpuSeconds(gateways.back()->process->pid()) - cpuBefore) / seconds);
        calls.add(nodes, static_cast<double>(objectCalls(cluster) - callsBefore) / seconds);
        auto perNode = seconds * static_cast<double>(gateways.size());
        bytes.add(nodes, (sumMetric(cluster, gateways, "onyxnotch_gossip_bytes_sent_total") - bytesBefore) / perNode);
        messages.add(nodes, (sumMetric(cluster, gateways, "onyxnotch_gossip_messages_sent_total") - messagesBefore) / perNode);
        memory.add(nodes, residentMegabytes(gateways.back()->process->pid()));

        auto version = cluster.get(gateways[0]->http, "/readyz").value("configuration_version", 0);
        Json drain { { "kind", "Drain" }, { "name", "d" }, { "spec", { { "instance", "i-x" } } } };
        cluster.apply({ { "objects", Json::array({ drain }) } });
        auto began = steadyNow();
        auto holdsEverywhere = [&](const std::function<bool(const GatewayProcess&)>& condition) { return std::all_of(gateways.begin(), gateways.end(), [&](const auto& it) { return condition(*it); }); };
        waitUntil([&] { return holdsEverywhere([&](const GatewayProcess& it) { return cluster.get(it.http, "/readyz").value("configuration_version", 0) > version; }); });
        configurationDelay.add(nodes, std::chrono::duration<double, std::milli>(steadyNow() - began).count());

        // Use the timestamps in the logs: polling all nodes would take longer than the propagation itself.
        auto endpoint = cluster.get(cluster.cloud(), "/v1/instances")["instances"][0]["id"].get<std::string>();
        auto reclaimedAt = wallMilliseconds();
        cluster.post(cluster.cloud(), "/control/reclaim", { { "instances", Json::array({ endpoint }) }, { "time_left_ms", 60000 } });
        double slowest = 0;
        for (const auto& it : gateways) {
            auto line = it->process->waitLine([&](const std::string& text) { return text.find("\"endpoint_leaving\"") != std::string::npos; }, Milliseconds(20000));
            slowest = std::max(slowest, line ? static_cast<double>(Json::parse(*line)["time_ms"].get<std::uint64_t>() - reclaimedAt) : 20000.0);
        }
        drainMarkDelay.add(nodes, slowest);

        cluster.post(cluster.objects(), "/control", { { "mode", "down" } });
        sleepFor(Milliseconds(3000));
        callsBefore = objectCalls(cluster);
        sleepFor(window);
        outage.add(nodes, static_cast<double>(objectCalls(cluster) - callsBefore) / seconds);
        callsBefore = objectCalls(cluster);
        cluster.post(cluster.objects(), "/control", Json::object());
        sleepFor(Milliseconds(1000));
        recovery.add(nodes, static_cast<double>(objectCalls(cluster) - callsBefore));
    }
    for (const auto* it : { &bytes, &joinBytes, &messages, &cpu, &memory, &calls, &outage, &recovery, &configurationDelay, &drainMarkDelay })
        it->fit();
}

// Measures resource use of one gateway for different numbers of open streams, with one token every 79 ms on each stream.
void measureStreams()
{
    Series cpu("processor time of a gateway, against open streams", "part of a core");
    Series memory("resident memory of a gateway, against open streams", "MB");
    Series rate("tokens a second through the gateway, against open streams", "1/s");
    for (unsigned streams : { 200U, 600U, 1100U, 1650U }) {
        ClusterOptions options { .zones = { "kushiro-hall" }, .controllers = 1, .engineArguments = { "--token-us", "79000", "--slots", "4000", "--threads", "2000" } };
        options.gatewaySettings = { { "httpThreads", 2000 }, { "batchSlots", 4000 }, { "timelyPart", 0 }, { "maximumActive", 2000 } };
        Cluster cluster(options);
        if (!cluster.deploy(1))
            return;
        auto& gateway = cluster.gateway(0);
        std::atomic<unsigned> open { 0 };
        std::atomic<std::uint64_t> received { 0 };
        std::vector<std::thread> callers;
        for (unsigned n = 0; n < streams; ++n) {
            callers.emplace_back([&, n] {
                Client client({ .addresses = { gateway.http }, .key = Cluster::teamKey });
                bool isCounted = false;
                client.chat({ .service = "planner", .prompt = "stream " + std::to_string(n), .maximumTokens = 300 }, [&](const std::string& text) {
                    open += isCounted ? 0 : 1;
                    isCounted = true;
                    received += static_cast<std::uint64_t>(std::count(text.begin(), text.end(), ' '));
                });
            });
        }
        waitUntil([&] { return open >= streams; }, Milliseconds(30000));
        sleepFor(Milliseconds(1000));
        auto cpuBefore = cpuSeconds(gateway.process->pid());
        auto receivedBefore = received.load();
        auto began = steadyNow();
        sleepFor(Milliseconds(6000));
        auto seconds = std::chrono::duration<double>(steadyNow() - began).count();
        cpu.add(open, (cpuSeconds(gateway.process->pid()) - cpuBefore) / seconds);
        memory.add(open, residentMegabytes(gateway.process->pid()));
        rate.add(open, static_cast<double>(received - receivedBefore) / seconds);
        // Kill the processes, so that all streams end and the client threads return.
        gateway.process->kill();
        for (auto& it : cluster.engines())
            it.process->kill();
        for (auto& it : callers)
            it.join();
    }
    for (const auto* it : { &cpu, &memory, &rate })
        it->fit();
}

// Measures memory use of one gateway for different numbers of declared objects, teams and endpoints.
void measureObjects()
{
    Series objects("resident memory of a gateway, against declared objects", "MB");
    Series teams("resident memory of a gateway, against teams", "MB");
    Series endpoints("resident memory of a gateway, against endpoints", "MB");
    for (unsigned count : { 100U, 1000U, 3000U }) {
        Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 0 });
        auto declaration = cluster.declaration(1);
        for (unsigned n = 0; n < count; ++n)
            declaration["objects"].push_back({ { "kind", "Drain" }, { "name", "drain-" + std::to_string(n) }, { "spec", { { "instance", "i-" + std::to_string(n) } } } });
        if (cluster.apply(declaration).exitCode != 0)
            continue;
        auto& gateway = cluster.gateway(0);
        waitUntil([&] { return cluster.get(gateway.http, "/readyz").value("ready", false); });
        objects.add(count, residentMegabytes(gateway.process->pid()));
    }
    for (unsigned count : { 100U, 1000U, 3000U }) {
        Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 0 });
        auto declaration = cluster.declaration(1);
        for (unsigned n = 0; n < count; ++n) {
            auto name = "team-" + std::to_string(n);
            declaration["objects"].push_back({ { "kind", "Team" }, { "name", name }, { "spec", { { "keyDigests", Json::array({ sha256Hex(name) }) } } } });
        }
        if (cluster.apply(declaration).exitCode != 0)
            continue;
        auto& gateway = cluster.gateway(0);
        waitUntil([&] { return cluster.get(gateway.http, "/readyz").value("ready", false); });
        teams.add(count, residentMegabytes(gateway.process->pid()));
    }
    for (unsigned count : { 1100U, 5500U, 11000U }) {
        Cluster cluster({ .zones = { "kushiro-hall" }, .controllers = 0 });
        static constexpr unsigned zones = 11;
        for (unsigned zone = 0; zone < zones; ++zone) {
            Json list = Json::array();
            for (unsigned n = 0; n < count / zones; ++n) {
                auto id = "i-zone-" + std::to_string(zone) + "-" + std::to_string(n);
                list.push_back({ { "id", id }, { "address", "127.0.0.1:9" }, { "zone", "zone-" + std::to_string(zone) }, { "class", "a10" }, { "market", "reclaimable" }, { "price_per_hour", 1.0 }, { "model", "" }, { "adapters", Json::array() } });
            }
            (void)sendHttp(cluster.objects(), { .method = "PUT", .path = "/v1/objects/status/endpoints/zone-" + std::to_string(zone), .headers = { { "If-None-Match", "*" } }, .body = Json { { "endpoints", list } }.dump() });
        }
        auto& gateway = cluster.gateway(0);
        waitUntil([&] { return cluster.status(gateway).value("endpoints", Json::array()).size() >= std::size_t(count / zones) * zones; });
        endpoints.add(count, residentMegabytes(gateway.process->pid()));
    }
    for (const auto* it : { &objects, &teams, &endpoints })
        it->fit();
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> selection(argv + 1, argv + argc);
    auto isSelected = [&](const std::string& argument) { return selection.empty() || std::find(selection.begin(), selection.end(), argument) != selection.end(); };
    if (isSelected("nodes"))
        measureNodes();
    if (isSelected("streams"))
        measureStreams();
    if (isSelected("objects"))
        measureObjects();
    if (isSelected("entry-streams"))
        measureEntryStreams();
    return 0;
}
