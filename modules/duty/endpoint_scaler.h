// How many endpoints each availability zone should hold, of which kind: a pure state machine over demand, prices and what is to be had.
//
// Reclaimable endpoints are much cheaper, and all of a zone may go at once; then there may be none to be had anywhere for a while. So
// they are spread over the zones, one zone's worth more than needed, and endpoints that cannot be taken away stand in for them only
// while there is a shortage.
#pragma once

#include "core/clock.h"
#include "modules/control/object_store.h"
#include "modules/peers/peer_row.h"
#include "modules/traffic/endpoint_list.h"
#include "modules/traffic/traffic_configuration.h"
#include <deque>

namespace Onyxnotch {

struct EndpointScalerOptions {
    double prefillPart { 0.45 }; // Of an engine's time that prefill may take, so that a long prompt still begins in time.
    double slotsPart { 0.6 }; // Of an endpoint's slots that streams may hold on average: arrivals come in bursts.
    // Reclaimable endpoints as a multiple of those needed. Two cost less than lasting ones that stand in for a lost zone: at 0.15 of the
    // price, eight zones' worth more of them cost as much as one that stands in for a zone.
    double reclaimableSpare { 2 };
    double initialPart { 0.5 }; // Of the endpoints found at the start, until demand is known.
    // The most that was needed in this time is needed still. An endpoint given back sooner would cost its start, some seconds of its
    // price, and its prefixes.
    Milliseconds lowerAfter { 10000 };
    Milliseconds refusedFor { 4000 }; // A zone that had none to give is asked again after this.
    Milliseconds reclaimedFor { 8000 }; // A zone that is being reclaimed is not asked for this long.
    // No refusal and no reclaim must have been seen for this long before what stood in for it is given back: longer than a zone is left
    // alone after a refusal, so that it has been asked meanwhile.
    Milliseconds settledAfter { 6000 };
    Milliseconds repeatAfter { 10000 }; // An order that did not show is given again.
};

class EndpointScaler {
public:
    explicit EndpointScaler(const EndpointScalerOptions& options = {});

    // What to order now.
    std::vector<ScaleOrder> orders(const TrafficConfiguration&, const EndpointList&, const std::map<std::string, ServiceDemand>& demand, SteadyTime now);
    // The order was taken, or there were none to be had.
    void ordered(const ScaleOrder&, SteadyTime now);
    void refused(const ScaleOrder&, SteadyTime now);

private:
    // Of one service in one availability zone.
    struct ZoneState {
        unsigned reclaimable { 0 }; // Listed and not leaving.
        unsigned lasting { 0 };
        SteadyTime closedUntil {}; // No reclaimable ones are to be had.
        unsigned reclaimableOrdered { 0 };
        unsigned lastingOrdered { 0 };
    };

    struct Need {
        SteadyTime at {};
        unsigned endpoints { 0 };
    };

    struct ServiceState {
        unsigned needed { 0 };
        std::deque<Need> recentNeeds {}; // Falling: the first is the most.
        unsigned slots { 1 }; // Of one endpoint.
        unsigned floor { 0 }; // Needed in any case, as found at the start,
        SteadyTime floorUntil {}; // until demand has been seen for a while.
        SteadyTime shortageSeenAt {};
        bool demandSeen { false };
        bool lastingPlanned { false }; // Before that, those that are there count as ordered.
        std::map<std::string, ZoneState> zones {};
    };

    struct Given {
        unsigned endpoints { 0 };
        SteadyTime at {};
    };

    void readList(const TrafficService&, const EndpointList&, ServiceState&, SteadyTime now);
    void updateFloor(const ServiceDemand&, ServiceState&, SteadyTime now);
    void updateNeeded(const ServiceDemand&, ServiceState&, SteadyTime now);
    void planReclaimable(const ScalingBounds&, ServiceState&, SteadyTime now);
    void planLasting(const ScalingBounds&, ServiceState&, SteadyTime now);
    void add(const ScaleOrder&, SteadyTime now, std::vector<ScaleOrder>&);

    EndpointScalerOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    std::map<ScaleOrder, Given> m_given {}; // By the order with no endpoints.
    std::map<std::string, SteadyTime> m_leavingSeen {}; // Reclaimable endpoints that are leaving, by id.
};

} // namespace Onyxnotch
