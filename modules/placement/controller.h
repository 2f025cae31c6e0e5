// The controller process (onyxnotch-controller): plans the placement of model engines and starts and ends their instances. Each zone,
// and the plan itself, is handled by the one controller that holds its lease; any number of controllers compete for the leases.
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
    ZoneControllerOptions zone {}; // Template for every zone; the controller fills in the member `zone`.
    Milliseconds period { 500 }; // Interval between two rounds of lease renewal, planning and reconciling.
    Milliseconds refusalRetention { 30000 }; // How long an offer is not planned again after the cloud refused it for lack of capacity.
    unsigned candidatesPerLease { 3 }; // Number of controllers that compete for each lease; limits its reads at the object service.
    std::uint64_t retainedChanges { 1000 }; // Number of configuration changes that remain in the store after a compaction.
    std::uint64_t compactionInterval { 200 }; // Number of new configuration versions between two compactions.
};

class Controller {
public:
    explicit Controller(const ControllerOptions&);
    ~Controller();
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    Status start();
    // Blocks until a stop signal arrives, then releases the held leases.
    void runUntilStopped(StopSignal&);

    Address httpAddress() const { return m_http.address(); }
    Address peerAddress() const { return m_node.peerAddress(); }

private:
    // The lease of an availability zone, and the controller that acts for the zone while this process holds the lease.
    struct Zone {
        std::unique_ptr<LeaseManager> lease;
        std::unique_ptr<ZoneController> controller;
        bool isHeld { false };
    };

    void addRoutes();
    void runRound();
    // Whether this controller is among the `candidatesPerLease` ones, chosen by hash, that compete for the lease.
    bool isCandidate(const std::string& lease);
    // Computes the placement plan and stores it if it changed.
    Status plan();
    // Renews or acquires the zones' leases and reconciles the zones whose lease is held.
    Status runZones();
    Status compactConfiguration();
    Zone& findOrCreateZone(const std::string& name);
    std::set<Offer> recentlyRefusedOffers(const std::map<std::string, SlotStatus>&);

    ControllerOptions m_options;
    Node m_node;
    HttpServer m_http;
    LeaseManager m_planLease;
    std::map<std::string, Zone> m_zones {};
    std::vector<Offer> m_offers {};
    std::map<Offer, SteadyTime> m_refusedAt {};
    PlacementPlan m_plan;
    std::uint64_t m_planVersion { 0 };
    std::uint64_t m_compactedVersion { 0 };
    std::atomic<unsigned> m_heldLeases { 0 };
};

} // namespace Onyxnotch
