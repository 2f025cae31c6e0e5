// A small site for tests and the demo: the platform's stand-ins, engines, gateways and controllers as real processes, with a
// fault-injecting proxy before whatever a test wants to disturb.
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
    bool engineProxies { false }; // Put the fault proxy before each engine.
    bool gatewayProxies { false }; // Put it before each gateway's HTTP, peer and gossip ports.
    bool serviceProxy { false }; // Put it before the plain service.
    Json gatewaySettings = Json::object(); // Merged into each gateway's settings.
    Json controllerSettings = Json::object();
    std::string market { "reclaimable" };
};

// A port of the fault proxy.
struct Forward {
    std::size_t id { 0 };
    Address address {};
};

struct GatewayProcess {
    std::string instance {};
    std::string zone {};
    std::unique_ptr<Process> process {};
    Address http {};
    Address peer {};
    Forward httpForward {}; // What other nodes and callers are told.
    Forward peerForward {};
    Forward gossipForward {};
};

struct EngineProcess {
    std::string zone {};
    std::unique_ptr<Process> process {};
    Address address {}; // Of the engine itself.
    Forward forward {};
};

class Cluster {
public:
    static constexpr auto teamKey = "key-of-gate-clerks";
    static constexpr auto otherTeamKey = "key-of-shippers";

    explicit Cluster(const ClusterOptions& = {});
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    // Starts a further gateway; it joins through those that run.
    GatewayProcess& startGateway(const std::string& instance, const std::string& zone);
    Process& startController(const std::string& instance, const std::string& zone);
    Process& startPlainService();

    // The declaration that most tests use: a model service "planner", a plain service "release" that may not be repeated and a plain
    // service "lookup" that may be; two teams.
    Json declaration(unsigned replicas) const;
    RunResult apply(const Json& declaration);
    // Applies the usual declaration, and waits until every gateway knows `replicas` loaded endpoints.
    bool deploy(unsigned replicas);
    bool waitForEndpoints(unsigned count);

    Client client(const std::string& key = teamKey) const;
    Json status(const GatewayProcess&) const;
    // Waits until the gateway sees that node in that state ("alive", "suspect", "dead").
    bool waitMemberState(const GatewayProcess& observer, const std::string& node, const std::string& state) const;
    // A metric's sum over its labels at a gateway.
    double metric(const GatewayProcess&, const std::string& name) const;

    Json get(const Address&, const std::string& path) const;
    Json post(const Address&, const std::string& path, const Json& body) const;
    // Members that are not named go back to no fault; the target stays.
    void setFault(const Forward&, const Json& fault) const;
    // Cuts a gateway off from everyone but those that talk to its own ports, or heals it.
    void setPartitioned(const GatewayProcess&, bool cut) const;
    Forward addForward(const std::string& kind, const Address& target = {}) const;

    GatewayProcess& gateway(std::size_t n) { return *m_gateways.at(n); }
    std::vector<std::unique_ptr<GatewayProcess>>& gateways() { return m_gateways; }
    std::vector<EngineProcess>& engines() { return m_engines; }
    // The engine behind a cloud instance id.
    EngineProcess* findEngine(const std::string& endpoint);
    std::vector<std::unique_ptr<Process>>& controllers() { return m_controllers; }
    Process& plainService() { return *m_plainService; }
    const Address& objects() const { return m_objects; }
    const Address& cloud() const { return m_cloud; }
    const Address& service() const { return m_service; }
    const Forward& serviceForward() const { return m_serviceForward; }
    std::string writeFile(const std::string& name, const std::string& text) const;
    std::map<std::string, long> serviceRuns() const;
    // How often the plain service ran a request.
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
    Forward m_serviceForward;
    std::unique_ptr<Process> m_plainService;
    std::vector<EngineProcess> m_engines {};
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways {};
    std::vector<std::unique_ptr<Process>> m_controllers {};
    std::vector<Address> m_peers {};
};

} // namespace Onyxnotch::Tests
