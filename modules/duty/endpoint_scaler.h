// Decides how many reclaimable and on-demand endpoints each availability zone should have, from demand, prices and availability. A pure
// state machine without I/O; the time is passed in.
//
// Reclaimable endpoints are much cheaper, but the cloud may reclaim all of a zone at the same time, after which none may be available in
// any zone for a while. They are therefore spread over the zones, with spare ones as long as a spare costs less than the expected loss that
// it prevents. On-demand endpoints, which can't be reclaimed, replace them only while no reclaimable ones are available.
#pragma once

#include "core/clock.h"
#include "core/sliding_maximum.h"
#include "modules/control/object_store.h"
#include "modules/duty/reclaim_outlook.h"
#include "modules/peers/peer_row.h"
#include "modules/traffic/endpoint_list.h"
#include "modules/traffic/traffic_configuration.h"

namespace Onyxnotch {

struct EndpointScalerOptions {
    double targetPrefillShare { 0.45 }; // Target share of an engine's time spent on prefill, so that a long prompt still starts in time.
    double targetSlotShare { 0.6 }; // Target share of an endpoint's slots in use on average. The remainder absorbs bursts of arrivals.
    // Cost of a missing endpoint as a multiple of the on-demand price of an endpoint for the same time. The served work is worth several
    // times its cost, and a shortage has effects beyond its duration. Derived from two users' prices in docs/DECISIONS.md.
    double shortageCostFactor { 8 };
    // Share of the endpoints found at the start that counts as needed until demand is known. New engines have no cached prefixes.
    double initialNeedShare { 0.7 };
    // Time after the first requests until demand counts as known: averages have risen, and common prefixes have been requested.
    Milliseconds demandWarmUpTime { 4000 };
    // The largest need within this window still counts. Releasing an endpoint sooner would waste its start-up, some seconds of its price,
    // and its cached prefixes.
    Milliseconds scaleDownWindow { 10000 };
    // Largest share of the reclaimable endpoints released within one boot time. Without this limit, a fleet of 138 endpoints was halved
    // after its start, had to recompute prompts, and was 40 endpoints short seconds later; from then on a third of a quiet day's streams
    // were late.
    double scaleDownStepShare { 0.25 };
    // Wait before ordering again in a zone that had no reclaimable endpoints available. Each call costs something, a shortage costs more.
    Milliseconds refusedZoneCooldown { 2000 };
    Milliseconds reclaimedZoneCooldown { 8000 }; // No reclaimable endpoints are ordered in a zone for this long after it was reclaimed.
    // For this long after the last refusal, no zone counts as having reclaimable endpoints available. Longer than refusedZoneCooldown, so
    // that the zone is ordered in again before this ends.
    Milliseconds supplyExhaustedTime { 3000 };
    Milliseconds repeatOrderAfter { 10000 }; // An accepted order that the endpoint list does not reflect is sent again after this.
    Milliseconds bootMargin { 2000 }; // Time beyond the boot time in which ordered endpoints may still register.
    // Before demand is observed, on-demand endpoints are neither ordered nor released until their listed number has not risen for this
    // long. Endpoints register within about a second.
    Milliseconds listSettleTime { 1500 };
    ReclaimOutlookOptions outlook {};
};

// The number of endpoints ordered for a service and the inputs of the decision, for the log.
struct ScaleDecision {
    std::string service {};
    unsigned needed { 0 };
    unsigned floor { 0 }; // Lower bound of `needed` in force; 0 if there is none.
    double busyEngines { 0 }; // Number of engines that prefill alone would keep fully busy.
    double running { 0 }; // Requests in flight whose first event has arrived.
    double reclaimChance { 0 }; // Probability that a zone is reclaimed within a second.
    bool isSupplyExhausted { false }; // No reclaimable endpoints are available.
    unsigned reclaimableOrdered { 0 };
    unsigned onDemandOrdered { 0 };

    // Compares the outcome only, not the inputs.
    bool sameOutcome(const ScaleDecision& other) const
    {
        return needed == other.needed && isSupplyExhausted == other.isSupplyExhausted && reclaimableOrdered == other.reclaimableOrdered && onDemandOrdered == other.onDemandOrdered;
    }
};

// Scaling state of a service that the next holder of the duties needs: ordered endpoints may not be listed yet, and only this holder knows
// the recent demand.
struct ScalingCheckpoint {
    std::string service {};
    unsigned needed { 0 };
    bool isSupplyExhausted { false };
    std::vector<ScaleOrder> orders {}; // Accepted orders, the last one for each zone and kind of endpoint.

    bool operator==(const ScalingCheckpoint&) const = default;
};

class EndpointScaler {
public:
    explicit EndpointScaler(const EndpointScalerOptions& options = {});

    // Returns the orders to send now. Each order gives the total number of endpoints of one kind in one zone. `demand` is by service.
    std::vector<ScaleOrder> orders(const TrafficConfiguration&, const EndpointList&, const std::map<std::string, ServiceDemand>& demand, SteadyTime now);
    // Returns and clears the decisions whose outcome changed since the last call, for the log.
    std::vector<ScaleDecision> takeDecisions();
    // Records that the cloud accepted the order, or had no endpoints available for it.
    void onAccepted(const ScaleOrder&, SteadyTime now);
    void onRefused(const ScaleOrder&, SteadyTime now);
    // The state to store for the next holder of the duties.
    std::vector<ScalingCheckpoint> makeCheckpoints(SteadyTime now) const;
    // Resumes from the state stored by an earlier holder. To be called before any other method.
    void restore(const std::vector<ScalingCheckpoint>&, SteadyTime now);

private:
    // State of one service in one availability zone.
    struct ZoneState {
        unsigned reclaimable { 0 }; // Reclaimable endpoints that are listed and not draining.
        unsigned onDemand { 0 }; // On-demand endpoints that are listed and not draining.
        SteadyTime cooldownUntil {}; // No reclaimable endpoints are ordered in the zone before this time.
        unsigned reclaimableOrdered { 0 };
        SteadyTime reclaimableOrderedAt {}; // When an order for more reclaimable endpoints was last accepted.
        // Reclaimable endpoints released by an order for fewer that have not started to drain. Their draining is no reclaim.
        unsigned pendingReleases { 0 };
        unsigned onDemandOrdered { 0 };
    };

    struct ServiceState {
        unsigned needed { 0 };
        SlidingMaximum recentNeeded {};
        SlidingMaximum recentReclaimableTargets {}; // Recent per-zone targets for reclaimable endpoints.
        unsigned reclaimableTarget { 0 }; // Current per-zone target for reclaimable endpoints; a lower target is approached in steps.
        SteadyTime lastLoweredAt {};
        unsigned slots { 1 }; // Slots of one endpoint, as listed.
        unsigned floor { 0 }; // Lower bound of `needed`, from the endpoints found at the start or an earlier holder's state.
        SteadyTime floorUntil {}; // When the lower bound ends, because demand has been observed for long enough.
        SteadyTime refusedAt {}; // Last refusal of an order for reclaimable endpoints, or sign of one. Unset if none.
        bool hasSeenDemand { false };
        bool isInherited { false }; // An earlier holder of the duties has already ordered endpoints.
        unsigned maximumOnDemand { 0 }; // Largest number of on-demand endpoints listed at the same time.
        SteadyTime maximumOnDemandAt {}; // When maximumOnDemand last rose; initially the time of creation.
        bool isOnDemandPlanned { false }; // Until this is set, the listed on-demand endpoints count as ordered.
        ReclaimOutlook outlook {};
        std::map<std::string, ZoneState> zones {};
    };

    struct AcceptedOrder {
        unsigned endpoints { 0 };
        SteadyTime at {};
    };

    ServiceState makeServiceState(SteadyTime now) const;
    void updateFromList(const TrafficService&, const EndpointList&, ServiceState&, SteadyTime now);
    void recordLeaving(const std::map<std::string, unsigned>& leavingByZone, ServiceState&, SteadyTime now);
    void updateFloor(const ServiceDemand&, ServiceState&, SteadyTime now);
    void updateNeeded(const ServiceDemand&, ServiceState&, SteadyTime now);
    unsigned limitScaleDown(unsigned target, const ScalingBounds&, ServiceState&, SteadyTime now) const;
    void planReclaimable(const ScalingBounds&, ServiceState&, SteadyTime now);
    unsigned reclaimablePerZone(const ScalingBounds&, const ServiceState&, SteadyTime now) const;
    unsigned onDemandTarget(const ScalingBounds&, const ServiceState&, SteadyTime now) const;
    void planOnDemand(const ScalingBounds&, ServiceState&, SteadyTime now);
    bool isReclaimableExhausted(const ServiceState&, SteadyTime now) const;
    static void recordRefusal(ServiceState&, SteadyTime now);
    void recordDecision(const std::string& service, const ServiceDemand&, const ServiceState&, SteadyTime now);
    void addUnlessAccepted(const ScaleOrder&, unsigned listed, SteadyTime now, std::vector<ScaleOrder>&);

    EndpointScalerOptions m_options;
    std::map<std::string, ServiceState> m_services {};
    // Key: the order with `endpoints` set to 0, which stands for its service, zone and kind.
    std::map<ScaleOrder, AcceptedOrder> m_acceptedOrders {};
    // Listed reclaimable endpoints that are draining, with the time when this was first seen.
    std::map<EndpointIncarnation, SteadyTime> m_knownLeaving {};
    std::map<std::string, ScaleDecision> m_decisions {}; // Last decision with a changed outcome, by service.
    std::vector<ScaleDecision> m_newDecisions {};
};

} // namespace Onyxnotch
