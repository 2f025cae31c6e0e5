// Brings the slots of one availability zone about, under that zone's lease. Each step is written down before it is taken, so that a
// successor goes on where a controller died.
#pragma once

#include "core/metrics.h"
#include "modules/placement/lease_keeper.h"
#include "modules/placement/placement_plan.h"
#include "modules/replica/endpoint_catalog.h"
#include "servers/engine/engine_client.h"
#include "servers/membership/membership_server.h"

namespace Onyxnotch {

struct ZoneControllerOptions {
    std::string zone {};
    std::string tokenPrefix { "onyxnotch-" }; // Of our client tokens; other instances of the account are left alone.
    Milliseconds longestOrder { 8000 }; // An engine that has not answered by then has given up the order.
    Milliseconds longestTermination { 2500 }; // The cloud's answer to the end of an instance takes no longer.
    Milliseconds retireTime { 30000 }; // For streams at a slot that is no longer wanted.
    unsigned parallelism { 8 }; // Cloud starts and load orders at once.
    std::size_t maximumSlots { 2000 };
};

class ZoneController {
public:
    ZoneController(const ZoneControllerOptions&, const ObjectClient&, const CloudClient&, MembershipServer&, Metrics&);

    // One round. `lease` must be held; it is looked at again before each step that others see.
    Status reconcile(const PlacementPlan&, const LeaseKeeper& lease);

    static std::string statusKey(const std::string& zone) { return "status/zones/" + zone; }
    static std::string endpointsKey(const std::string& zone) { return "status/endpoints/" + zone; }

private:
    Status loadStatus();
    Status saveStatus(const LeaseKeeper&);
    Status publishEndpoints(const LeaseKeeper&);
    bool takePlan(const PlacementPlan&);
    bool takeMarks();
    bool startIntended(const LeaseKeeper&);
    bool loadStarted(const LeaseKeeper&);
    Status removeGone(const LeaseKeeper&);
    Status terminateLeaked(const std::vector<CloudInstance>&, const LeaseKeeper&);
    // Whether an order to this slot may be sent now and will have ended before the lease does.
    bool mayOrder(const SlotStatus&, const LeaseKeeper&) const;
    void runParallel(const std::vector<SlotStatus*>&, const std::function<void(SlotStatus&)>&) const;
    std::vector<SlotStatus*> inState(SlotState);

    ZoneControllerOptions m_options;
    const ObjectClient& m_objects;
    const CloudClient& m_cloud;
    MembershipServer& m_membership;
    Metrics& m_metrics;
    std::vector<SlotStatus> m_status {};
    std::uint64_t m_statusVersion { 0 }; // 0: to be created.
    std::string m_savedText {};
    bool m_loaded { false };
    std::string m_publishedText {};
    std::uint64_t m_publishedVersion { 0 };
    bool m_publishedKnown { false };
};

} // namespace Onyxnotch
