#include "tests/harness/cluster.h"

#include "core/digest.h"
#include "core/net/http_client.h"
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace Onyxnotch::Tests {

namespace {

    constexpr auto region = "doto";

} // namespace

Cluster::Cluster(const ClusterOptions& options)
    : m_options(options)
{
    auto pattern = (std::filesystem::temp_directory_path() / "onyxnotch-test-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        std::abort();
    m_folder = pattern;
    startPlatform();
    startEngines();
    for (const auto& zone : options.zones) {
        for (unsigned n = 1; n <= options.gatewaysPerZone; ++n)
            startGateway(zone + "-" + std::to_string(n), zone);
    }
    for (unsigned n = 0; n < options.controllers; ++n) {
        const auto& zone = options.zones[n % options.zones.size()];
        startController(zone + "-" + std::to_string(1 + n / options.zones.size()), zone);
    }
}

Cluster::~Cluster()
{
    m_gateways.clear();
    m_controllers.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Cluster::startPlatform()
{
    auto start = [this](const std::string& name, const std::vector<std::string>& arguments = {}) {
        m_platform.push_back(std::make_unique<Process>("onyxnotch-fake-" + name, arguments));
        return m_platform.back()->listening();
    };
    m_objects = start("object-api");
    m_cloud = start("cloud-api");
    m_list = start("instance-list", { "--cloud", m_cloud.text(), "--lag-ms", "300" });
    m_weights = start("weight-store");
    m_proxy = start("fault-proxy");
    startPlainService();
}

Process& Cluster::startPlainService()
{
    m_plainService = std::make_unique<Process>("onyxnotch-fake-plain-service", std::vector<std::string> {});
    m_service = m_plainService->listening();
    if (m_options.serviceProxy) {
        m_serviceForward = addForwardedPort("tcp", m_service);
        setFault(m_serviceForward, { { "target", m_service.text() } });
    }
    return *m_plainService;
}

void Cluster::startEngines()
{
    for (const auto& zone : m_options.zones) {
        Json addresses = Json::array();
        for (unsigned n = 0; n < m_options.enginesPerZone; ++n) {
            auto arguments = m_options.engineArguments;
            arguments.insert(arguments.end(), { "--weights", m_weights.text() });
            EngineProcess engine { .zone = zone, .process = std::make_unique<Process>("onyxnotch-fake-model-engine", arguments) };
            engine.address = engine.process->listening();
            if (m_options.engineProxies) {
                engine.forward = addForwardedPort("tcp", engine.address);
                setFault(engine.forward, { { "target", engine.address.text() } });
            }
            addresses.push_back((m_options.engineProxies ? engine.forward.address : engine.address).text());
            m_engines.push_back(std::move(engine));
        }
        post(m_cloud, "/control/offer", { { "zone", zone }, { "class", "a10" }, { "market", m_options.market }, { "price_per_hour", 1.0 }, { "addresses", addresses } });
    }
}

Json Cluster::nodeSettings(const std::string& instance, const std::string& zone) const
{
    Json seeds = Json::array();
    for (const auto& it : m_peers)
        seeds.push_back(it.text());
    return {
        { "instance", instance },
        { "zone", zone },
        { "region", region },
        { "seeds", seeds },
        { "platform", { { "objects", m_objects.text() }, { "cloud", m_cloud.text() }, { "instanceList", m_list.text() } } },
        { "membership", { { "probePeriodMs", 100 }, { "probeTimeoutMs", 50 }, { "suspicionMs", 600 } } },
    };
}

GatewayProcess& Cluster::startGateway(const std::string& instance, const std::string& zone)
{
    auto gateway = std::make_unique<GatewayProcess>();
    gateway->instance = instance;
    gateway->zone = zone;
    auto settings = nodeSettings(instance, zone);
    settings["httpThreads"] = 64;
    settings["loadPeriodMs"] = 200;
    settings.merge_patch(m_options.gatewaySettings);
    if (m_options.gatewayProxies) {
        gateway->httpForward = addForwardedPort("tcp");
        gateway->peerForward = addForwardedPort("tcp");
        gateway->gossipForward = addForwardedPort("udp");
        settings["advertise"] = { { "httpPort", gateway->httpForward.address.port }, { "peerPort", gateway->peerForward.address.port }, { "gossipPort", gateway->gossipForward.address.port } };
    }
    auto path = writeFile(instance + "-gateway-" + std::to_string(m_gateways.size()) + ".json", settings.dump(2));
    gateway->process = std::make_unique<Process>("onyxnotch-gateway", std::vector<std::string> { "--settings", path });
    if (m_options.gatewayProxies) {
        // The gateway selects free ports and logs them, so the targets of the proxy are only known now.
        auto http = Json::parse(gateway->process->waitEvent("http_bound", Milliseconds(20000)).value_or("{}"), nullptr, false);
        setFault(gateway->httpForward, { { "target", http.value("http", "") } });
        auto bound = gateway->process->waitEvent("bound", Milliseconds(20000));
        auto document = Json::parse(bound.value_or("{}"), nullptr, false);
        setFault(gateway->peerForward, { { "target", document.value("peer", "") } });
        setFault(gateway->gossipForward, { { "target", document.value("gossip", "") } });
    }
    gateway->http = gateway->process->listening("http");
    gateway->peer = gateway->process->listening("peer");
    m_peers.push_back(m_options.gatewayProxies ? gateway->peerForward.address : gateway->peer);
    m_gateways.push_back(std::move(gateway));
    return *m_gateways.back();
}

Process& Cluster::startController(const std::string& instance, const std::string& zone)
{
    auto settings = nodeSettings(instance, zone);
    settings.merge_patch({ { "leaseDurationMs", 2000 }, { "leaseRenewMs", 500 }, { "periodMs", 100 }, { "refusalMemoryMs", 3000 }, { "longestOrderMs", 1000 }, { "longestTerminationMs", 500 }, { "retireMs", 1000 } });
    settings.merge_patch(m_options.controllerSettings);
    auto path = writeFile(instance + "-controller-" + std::to_string(m_controllers.size()) + ".json", settings.dump(2));
    m_controllers.push_back(std::make_unique<Process>("onyxnotch-controller", std::vector<std::string> { "--settings", path }));
    m_controllers.back()->listening("http");
    return *m_controllers.back();
}

Json Cluster::declaration(unsigned replicas) const
{
    auto service = m_options.serviceProxy ? m_serviceForward.address : m_service;
    Json endpoint { { "id", "release-desk" }, { "address", service.text() }, { "zone", m_options.zones.front() } };
    Json objects = Json::array({
        { { "kind", "ModelVersion" }, { "name", "rail-7b-v1" }, { "labels", { { "model", "rail-7b" } } }, { "spec", { { "model", "rail-7b" }, { "version", 1 }, { "weights", "rail-7b-v1" } } } },
        { { "kind", "Service" }, { "name", "planner" }, { "labels", { { "tier", "long" } } }, { "spec", { { "type", "model" }, { "models", { { "matchLabels", { { "model", "rail-7b" } } } } } } } },
        { { "kind", "Service" }, { "name", "release" }, { "spec", { { "type", "plain" }, { "repeatable", false }, { "endpoints", Json::array({ endpoint }) } } } },
        { { "kind", "Service" }, { "name", "lookup" }, { "spec", { { "type", "plain" }, { "repeatable", true }, { "endpoints", Json::array({ endpoint }) } } } },
        { { "kind", "Team" }, { "name", "gate-clerks" }, { "spec", { { "keyDigests", Json::array({ sha256Hex(teamKey) }) } } } },
        { { "kind", "Team" }, { "name", "shippers" }, { "spec", { { "keyDigests", Json::array({ sha256Hex(otherTeamKey) }) } } } },
        { { "kind", "PlacementRule" }, { "name", "planner-anywhere" }, { "spec", { { "services", { { "matchLabels", { { "tier", "long" } } } } }, { "offers", Json::object() }, { "replicas", replicas }, { "minimumZones", std::min<std::size_t>(replicas, m_options.zones.size()) } } } },
    });
    return { { "objects", objects } };
}

RunResult Cluster::apply(const Json& declaration)
{
    return runProgram("onyxnotch", { "apply", writeFile("declaration.json", declaration.dump(2)), "--objects", m_objects.text() });
}

bool Cluster::deploy(unsigned replicas)
{
    auto applied = apply(declaration(replicas));
    if (applied.exitCode != 0)
        std::cerr << "apply: exit code " << applied.exitCode << ": " << applied.output << std::endl;
    return applied.exitCode == 0 && waitForEndpoints(replicas);
}

bool Cluster::waitForEndpoints(unsigned count)
{
    return waitUntil([&] {
        for (const auto& it : m_gateways) {
            auto document = status(*it);
            unsigned loaded = 0;
            for (const auto& endpoint : document.value("endpoints", Json::array()))
                loaded += endpoint.value("model", "").empty() || endpoint.value("leaving", false) ? 0 : 1;
            if (loaded < count)
                return false;
        }
        return true;
    });
}

Client Cluster::client(const std::string& key) const
{
    ClientOptions options { .key = key };
    for (const auto& it : m_gateways)
        options.addresses.push_back(it->http);
    return Client(options);
}

Json Cluster::status(const GatewayProcess& gateway) const { return get(gateway.http, "/v1/status"); }

bool Cluster::waitMemberState(const GatewayProcess& observer, const std::string& node, const std::string& state) const
{
    return waitUntil([&] {
        auto members = status(observer).value("members", Json::array());
        return std::any_of(members.begin(), members.end(), [&](const Json& it) { return it["node"] == node && it["state"] == state; });
    });
}

double Cluster::metric(const GatewayProcess& gateway, const std::string& name) const
{
    auto reply = sendHttp(gateway.http, { .path = "/metrics" });
    if (!reply)
        return 0;
    std::istringstream stream(reply.value().body);
    double sum = 0;
    for (std::string line; std::getline(stream, line);) {
        bool matches = line.rfind(name, 0) == 0 && (line[name.size()] == '{' || line[name.size()] == ' ');
        if (matches)
            sum += std::stod(line.substr(line.rfind(' ') + 1));
    }
    return sum;
}

Json Cluster::get(const Address& address, const std::string& path) const
{
    auto reply = sendHttp(address, { .path = path });
    auto document = reply ? Json::parse(reply.value().body, nullptr, false) : Json();
    return document.is_discarded() || document.is_null() ? Json::object() : document;
}

Json Cluster::post(const Address& address, const std::string& path, const Json& body) const
{
    auto reply = sendHttp(address, { .method = "POST", .path = path, .headers = {}, .body = body.dump() });
    auto document = reply ? Json::parse(reply.value().body, nullptr, false) : Json();
    return document.is_discarded() || document.is_null() ? Json::object() : document;
}

ForwardedPort Cluster::addForwardedPort(const std::string& kind, const Address&) const
{
    auto answer = post(m_proxy, "/forwards", { { "kind", kind } });
    return { .id = answer.at("id"), .address = parseAddress(answer.at("address").get<std::string>()).value() };
}

void Cluster::setFault(const ForwardedPort& forward, const Json& fault) const
{
    post(m_proxy, "/forwards/" + std::to_string(forward.id), fault);
}

void Cluster::setPartitioned(const GatewayProcess& gateway, bool cut) const
{
    setFault(gateway.httpForward, { { "refuse", cut } });
    setFault(gateway.peerForward, { { "refuse", cut } });
    setFault(gateway.gossipForward, { { "drop_up", cut } });
}

EngineProcess* Cluster::findEngine(const std::string& endpoint)
{
    auto list = get(m_cloud, "/v1/instances");
    for (const auto& instance : list.value("instances", Json::array())) {
        if (instance["id"] != endpoint)
            continue;
        for (auto& it : m_engines) {
            auto address = m_options.engineProxies ? it.forward.address : it.address;
            if (instance["address"] == address.text())
                return &it;
        }
    }
    return nullptr;
}

std::string Cluster::writeFile(const std::string& name, const std::string& text) const
{
    auto path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
}

long Cluster::executionCount(const std::string& requestId) const
{
    auto runs = serviceRuns();
    auto it = runs.find(requestId);
    return it == runs.end() ? 0 : it->second;
}

std::map<std::string, long> Cluster::serviceRuns() const
{
    return get(m_service, "/control/runs").get<std::map<std::string, long>>();
}

} // namespace Onyxnotch::Tests
