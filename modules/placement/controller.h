// A whole controller: what onyxnotch-controller runs. Any number of them compete for the leases.
#pragma once

#include "core/net/http_server.h"
#include "core/stop_signal.h"
#include "modules/node/node.h"
#include "modules/placement/zone_controller.h"
#include <thread>

namespace Onyxnotch {

struct ControllerOptions {
    NodeOptions node {};
    HttpServerOptions http {};
    LeaseOptions lease {};
    ZoneControllerOptions zone {}; // `zone` is filled in for each zone.
    Milliseconds period { 500 }; // Between rounds.
    Milliseconds refusalMemory { 30000 }; // How long an offer that was refused is not planned again.
    unsigned candidatesPerLease { 3 }; // Nodes that compete for one lease, so that its reads do not grow with the fleet.
    std::uint64_t keptChanges { 1000 }; // Of the configuration's history, when it is compacted.
    std::uint64_t compactEvery { 200 }; // Versions.
};

class Controller {
public:
    explicit Controller(const ControllerOptions&);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    Status start();
    // Runs until a stop signal; releases the leases.
    void runUntilStopped(StopSignal&);

    Address httpAddress() const { return m_http.address(); }
    Address peerAddress() const { return m_node.peerAddress(); }

private:
    // A zone's lease and what is done under it.
    struct Zone {
        std::unique_ptr<LeaseKeeper> lease;
        std::unique_ptr<ZoneController> controller;
        bool held { false };
    };

    void addRoutes();
    void round();
    bool isCandidate(const std::string& lease);
    Status plan();
    Status runZones();
    Status compactConfiguration();
    Zone& zoneOf(const std::string& name);
    std::set<Offer> recentRefusals(const std::map<std::string, SlotStatus>&);

    ControllerOptions m_options;
    Node m_node;
    HttpServer m_http;
    LeaseKeeper m_planLease;
    std::map<std::string, Zone> m_zones {};
    std::vector<Offer> m_offers {};
    std::map<Offer, SteadyTime> m_refusals {};
    PlacementPlan m_plan;
    std::uint64_t m_planVersion { 0 };
    std::uint64_t m_compactedVersion { 0 };
    std::atomic<unsigned> m_heldLeases { 0 };
};

} // namespace Onyxnotch
