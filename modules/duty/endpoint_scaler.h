// How many endpoints each availability zone should hold, of which kind: a pure state machine over demand, prices and what is to be had.
//
// Reclaimable endpoints are much cheaper, and all of a zone may go at once; then there may be none to be had anywhere for a while. So
// they are spread over the zones, with as many to spare as the expected loss is dearer than they are, and endpoints that cannot be taken
// away stand in for them only while none are to be had.
#pragma once

#include "core/clock.h"
#include "core/recent_most.h"
#include "modules/control/object_store.h"
#include "modules/duty/reclaim_outlook.h"
#include "modules/peers/peer_row.h"
#include "modules/traffic/endpoint_list.h"
#include "modules/traffic/traffic_configuration.h"

namespace Onyxnotch {

struct EndpointScalerOptions {
    double prefillPart { 0.45 }; // Of an engine's time that prefill may take, so that a long prompt still begins in time.
    double slotsPart { 0.6 }; // Of an endpoint's slots that streams may hold on average: arrivals come in bursts.
    // What a missing endpoint loses, in units of the on-demand price of one for the same time: what it serves is worth some times what it
    // costs, and a shortage counts more than its time. Argued from two users' prices in docs/DECISIONS.md, not varied in a measurement.
    double workValue { 8 };
    double initialPart { 0.7 }; // Of the endpoints found at the start, until demand is known: engines that are new have read no prefix.
    Milliseconds demandKnownAfter { 4000 }; // Since the first request: the average has risen, and prefixes have been asked for.
    // The most that was needed in this time is needed still. An endpoint given back sooner would cost its start, some seconds of its
    // price, and its prefixes.
    Milliseconds lowerAfter { 10000 };
    // Of the reclaimable endpoints, that are given back within a boot time. At once, a fleet of 138 was halved after its start, had to read
    // prompts anew, and was 40 short seconds later: from there on a third of the streams of a quiet day were late.
    double lowerPart { 0.25 };
    Milliseconds refusedFor { 2000 }; // A zone that had none to give is asked again after this: each call has a price, a shortage a higher one.
    Milliseconds reclaimedFor { 8000 }; // A zone that is being reclaimed is not asked for this long.
    // Since the last refusal, none are taken to be had anywhere: longer than a zone is left alone, so that it has been asked meanwhile.
    Milliseconds dryFor { 3000 };
    Milliseconds repeatAfter { 10000 }; // An order that did not show is given again.
    Milliseconds bootMargin { 2000 }; // Beyond the boot time, in which what was ordered may still come.
    Milliseconds listSettles { 1500 }; // Endpoints register within about a second; before that the list is no reason to give any back.
    ReclaimOutlookOptions outlook {};
};

// How many endpoints of a service are wanted, and why.
struct ScaleDecision {
    std::string service {};
    unsigned needed { 0 };
    unsigned floor { 0 };
    double busyEngines { 0 };
    double running { 0 };
    double chanceOfReclaim { 0 }; // Of a zone, within a second.
    bool dry { false };
    unsigned reclaimableOrdered { 0 };
    unsigned lastingOrdered { 0 };

    // The same outcome, whatever the inputs.
    bool sameOutcome(const ScaleDecision& other) const
    {
        return needed == other.needed && dry == other.dry && reclaimableOrdered == other.reclaimableOrdered && lastingOrdered == other.lastingOrdered;
    }
};

// What the next holder of the duties has to know of a service: what was ordered is not all listed yet, and demand over the last while is
// known to nobody else.
struct ScaleMemory {
    std::string service {};
    unsigned needed { 0 };
    bool dry { false };
    std::vector<ScaleOrder> orders {}; // That were taken, the last of each zone and kind.

    bool operator==(const ScaleMemory&) const = default;
};

class EndpointScaler {
public:
    explicit EndpointScaler(const EndpointScalerOptions& options = {});

    // What to order now.
    std::vector<ScaleOrder> orders(const TrafficConfiguration&, const EndpointList&, const std::map<std::string, ServiceDemand>& demand, SteadyTime now);
    // What the last orders were decided by, for the log: each change of what is wanted once.
    std::vector<ScaleDecision> takeDecisions();
    // The order was taken, or there were none to be had.
    void ordered(const ScaleOrder&, SteadyTime now);
    void refused(const ScaleOrder&, SteadyTime now);
    // For the next holder.
    std::vector<ScaleMemory> memory(SteadyTime now) const;
    // Goes on from what an earlier holder left. Call before anything else.
    void adopt(const std::vector<ScaleMemory>&, SteadyTime now);

private:
    // Of one service in one availability zone.
    struct ZoneState {
        unsigned reclaimable { 0 }; // Listed and not leaving.
        unsigned lasting { 0 };
        SteadyTime closedUntil {}; // No reclaimable ones are to be had.
        unsigned reclaimableOrdered { 0 };
        SteadyTime reclaimableOrderedAt {}; // When an order for more was last taken.
        unsigned givenBack { 0 }; // By orders for fewer; these leave because we asked for it.
        unsigned lastingOrdered { 0 };
    };

    struct ServiceState {
        unsigned needed { 0 };
        RecentMost recentNeeds {};
        RecentMost recentPerZone {}; // Of reclaimable ones.
        unsigned perZone { 0 }; // The same, as lowered so far.
        SteadyTime loweredAt {};
        unsigned slots { 1 }; // Of one endpoint.
        unsigned floor { 0 }; // Needed in any case, as found at the start,
        SteadyTime floorUntil {}; // until demand has been seen for a while.
        SteadyTime refusedAt {};
        bool demandSeen { false };
        bool takenOver { false }; // From an earlier holder of the duties.
        unsigned mostLasting { 0 }; // That were listed at once.
        SteadyTime listGrewAt {};
        bool lastingPlanned { false }; // Before that, those that are there count as ordered.
        ReclaimOutlook outlook {};
        std::map<std::string, ZoneState> zones {};
    };

    struct Given {
        unsigned endpoints { 0 };
        SteadyTime at {};
    };

    ServiceState freshState(SteadyTime now) const;
    void readList(const TrafficService&, const EndpointList&, ServiceState&, SteadyTime now);
    void noteLeaving(const std::map<std::string, unsigned>& leavingByZone, ServiceState&, SteadyTime now);
    void updateFloor(const ServiceDemand&, ServiceState&, SteadyTime now);
    void updateNeeded(const ServiceDemand&, ServiceState&, SteadyTime now);
    unsigned lowerInSteps(unsigned target, const ScalingBounds&, ServiceState&, SteadyTime now) const;
    void planReclaimable(const ScalingBounds&, ServiceState&, SteadyTime now);
    unsigned reclaimablePerZone(const ScalingBounds&, const ServiceState&, SteadyTime now) const;
    unsigned wantedLasting(const ScalingBounds&, const ServiceState&, SteadyTime now) const;
    void planLasting(const ScalingBounds&, ServiceState&, SteadyTime now);
    bool isDry(const ServiceState&, SteadyTime now) const;
    static void noteRefusal(ServiceState&, SteadyTime now);
    void noteDecision(const std::string& service, const ServiceDemand&, const ServiceState&, SteadyTime now);
    void add(const ScaleOrder&, unsigned listed, SteadyTime now, std::vector<ScaleOrder>&);

    EndpointScalerOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    std::map<ScaleOrder, Given> m_given {}; // By the order with no endpoints.
    std::map<EndpointLife, SteadyTime> m_leavingSeen {}; // Reclaimable endpoints that are leaving.
    std::map<std::string, ScaleDecision> m_decisions {}; // The last ones that were logged, by service.
    std::vector<ScaleDecision> m_newDecisions {};
};

} // namespace Onyxnotch
