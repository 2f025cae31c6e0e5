// Test cluster: fake platform services, fake model engines, and real gateways and controllers, each as its own process. A fault-injecting
// proxy can be placed in front of engines, gateways and the plain service.
#pragma once

#include "modules/client/client.h"
#include "tests/harness/process.h"
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace Onyxnotch::Tests {

using Json = nlohmann::json;

struct ClusterOptions {
    std::vector<std::string> zones { "kushiro-hall", "nemuro-hall", "obihiro-hall" };
    unsigned gatewaysPerZone { 1 };
    unsigned controllers { 2 };
    unsigned enginesPerZone { 1 };
    std::vector<std::string> engineArguments {};
    bool engineProxies { false }; // Place the fault proxy in front of each engine.
    bool gatewayProxies { false }; // Place the fault proxy in front of the HTTP, peer and gossip ports of each gateway.
    bool serviceProxy { false }; // Place the fault proxy in front of the plain service.
    Json gatewaySettings = Json::object(); // Merged into the settings of each gateway.
    Json controllerSettings = Json::object();
    std::string market { "reclaimable" };
};

// A forwarded port of the fault proxy: `address` is the one clients connect to.
struct ForwardedPort {
    std::size_t id { 0 };
    Address address {};
};

struct GatewayProcess {
    std::string instance {};
    std::string zone {};
    std::unique_ptr<Process> process {};
    Address http {};
    Address peer {};
    ForwardedPort httpForward {}; // The addresses advertised to other nodes and clients, if gatewayProxies is set.
    ForwardedPort peerForward {};
    ForwardedPort gossipForward {};
};

struct EngineProcess {
    std::string zone {};
    std::unique_ptr<Process> process {};
    Address address {}; // Address of the engine itself, not of the proxy.
    ForwardedPort forward {};
};

class Cluster {
public:
    static constexpr auto teamKey = "key-of-gate-clerks";
    static constexpr auto otherTeamKey = "key-of-shippers";

    explicit Cluster(const ClusterOptions& = {});
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Starts another gateway, with all gateways started before as its seeds.
    GatewayProcess& startGateway(const std::string& instance, const std::string& zone);
    Process& startController(const std::string& instance, const std::string& zone);
    Process& startPlainService();

    // The declaration used by most tests: a model service "planner" with this number of replicas, a non-repeatable plain service "release",
    // a repeatable plain service "lookup", and two teams.
    Json declaration(unsigned replicas) const;
    RunResult apply(const Json& declaration);
    // Applies declaration(replicas) and waits until each gateway reports this number of loaded endpoints. Returns false on failure.
    bool deploy(unsigned replicas);
    // Waits until each gateway reports at least `count` endpoints with a loaded model that are not draining.
    bool waitForEndpoints(unsigned count);

    Client client(const std::string& key = teamKey) const;
    Json status(const GatewayProcess&) const;
    // Waits until the membership table of `observer` lists `node` in this state ("alive", "suspect" or "dead").
    bool waitMemberState(const GatewayProcess& observer, const std::string& node, const std::string& state) const;
    // Value of a metric at a gateway, summed over all label values; 0 if it cannot be read.
    double metric(const GatewayProcess&, const std::string& name) const;

    Json get(const Address&, const std::string& path) const;
    Json post(const Address&, const std::string& path, const Json& body) const;
    // Replaces all faults of a forwarded port; members missing from `fault` are reset to no fault. A missing target is left unchanged.
    void setFault(const ForwardedPort&, const Json& fault) const;
    // Blocks all new connections and datagrams to a gateway that use the proxy, or unblocks them. Connections that bypass the proxy and use
    // the own ports of the gateway still work.
    void setPartitioned(const GatewayProcess&, bool cut) const;
    ForwardedPort addForwardedPort(const std::string& kind, const Address& target = {}) const;

    GatewayProcess& gateway(std::size_t n) { return *m_gateways.at(n); }
    std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return m_gateways; }
    std::vector<EngineProcess>& engines() { return m_engines; }
    // The engine process behind a cloud instance id; nullptr if there is none.
    EngineProcess* findEngine(const std::string& endpoint);
    std::vector<std::unique_ptr<Process>>& controllers() { return m_controllers; }
    Process& plainService() { return *m_plainService; }
    const Address& objects() const { return m_objects; }
    const Address& cloud() const { return m_cloud; }
    const Address& service() const { return m_service; }
    const ForwardedPort& serviceForward() const { return m_serviceForward; }
    std::string writeFile(const std::string& name, const std::string& text) const;
    std::map<std::string, long> serviceRuns() const;
    // Number of times the plain service has executed a request.
    long executionCount(const std::string& requestId) const;

private:
    void startPlatform();
    void startEngines();
    Json nodeSettings(const std::string& instance, const std::string& zone) const;

    ClusterOptions m_options;
    std::string m_folder {};
    std::vector<std::unique_ptr<Process>> m_platform {};
    Address m_objects {};
    Address m_cloud {};
    Address m_list {};
    Address m_weights {};
    Address m_proxy {};
    Address m_service {};
    ForwardedPort m_serviceForward;
    std::unique_ptr<Process> m_plainService;
    std::vector<EngineProcess> m_engines {};
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways {};
    std::vector<std::unique_ptr<Process>> m_controllers {};
    std::vector<Address> m_peers {};
};

} // namespace Onyxnotch::Tests
