// Implements the placement plan in one availability zone while this process holds the zone's lease: starts and ends instances, orders
// engines to load models, and publishes the zone's endpoints. Each step is stored before it is executed, so that the next holder of the
// lease can continue after a crash.
#pragma once

#include "core/metrics.h"
#include "modules/placement/lease_manager.h"
#include "modules/placement/placement_plan.h"
#include "modules/replica/endpoint_catalog.h"
#include "servers/engine/engine_client.h"
#include "servers/membership/membership_server.h"

namespace Onyxnotch {

struct ZoneControllerOptions {
    std::string zone {};
    // Prefix of the client tokens of started instances. Instances of the same cloud account without it are never ended.
    std::string tokenPrefix { "onyxnotch-" };
    // Time limit of a load order: an engine that hasn't answered within this time has dropped the order.
    Milliseconds orderTimeout { 8000 };
    Milliseconds terminationTimeout { 2500 }; // Upper bound for the duration of the cloud's call that ends an instance.
    // Time for running streams to finish before the instance of a slot that was removed from the plan is ended.
    Milliseconds retirementDrainTime { 30000 };
    unsigned parallelism { 8 }; // Maximum number of concurrent cloud starts or load orders.
    std::size_t maximumSlots { 2000 };
};

class ZoneController {
public:
    ZoneController(const ZoneControllerOptions&, const ObjectClient&, const CloudClient&, MembershipServer&, Metrics&);

    // Executes one round. `lease` must be held; it is checked again before each externally visible step.
    // Fails if a call to the cloud or the object service fails, or if the lease expires.
    Status reconcile(const PlacementPlan&, const LeaseManager& lease);

    static std::string statusKey(const std::string& zone) { return "status/zones/" + zone; }
    static std::string endpointsKey(const std::string& zone) { return "status/endpoints/" + zone; }

private:
    Status loadStatus();
    Status saveStatus(const LeaseManager&);
    Status publishEndpoints(const LeaseManager&);
    // Adds slots that are new in the plan and retires those that are no longer in it. Returns whether the status changed.
    bool applyPlan(const PlacementPlan&);
    // Marks slots as leaving whose instances were announced as draining or reclaimed. Returns whether the status changed.
    bool applyDrainMarks();
    // Starts instances for intended slots. Returns whether any call was made.
    bool startIntendedSlots(const LeaseManager&);
    // Orders engines of started slots to load their model. Returns whether any order was sent.
    bool loadStartedSlots(const LeaseManager&);
    // Ends the instances of retired slots, and removes slots that left the plan and whose instances have ended.
    Status removeEndedSlots(const LeaseManager&);
    // Ends instances of this zone that carry the client token prefix but belong to no slot.
    Status terminateLeakedInstances(const std::vector<CloudInstance>&, const LeaseManager&);
    // Whether a load order may be sent to this slot's engine now. For an engine that doesn't check fences, the order must end before the
    // lease does, and orders of the previous holder must have ended.
    bool maySendLoadOrder(const SlotStatus&, const LeaseManager&) const;
    void runParallel(const std::vector<SlotStatus*>&, const std::function<void(SlotStatus&)>&) const;
    std::vector<SlotStatus*> slotsInState(SlotState);

    ZoneControllerOptions m_options;
    const ObjectClient& m_objects;
    const CloudClient& m_cloud;
    MembershipServer& m_membership;
    Metrics& m_metrics;
    std::vector<SlotStatus> m_status {};
    std::uint64_t m_statusVersion { 0 }; // 0 if the object doesn't exist yet.
    std::string m_savedStatusText {};
    bool m_isStatusLoaded { false };
    std::string m_publishedText {};
    std::uint64_t m_publishedVersion { 0 };
    bool m_isPublishedLoaded { false };
};

} // namespace Onyxnotch
