#include "modules/duty/endpoint_scaler.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    ScaleOrder orderKeyOf(ScaleOrder order)
    {
        order.endpoints = 0;
        return order;
    }

} // namespace

EndpointScaler::EndpointScaler(const EndpointScalerOptions& options)
    : m_options(options)
{
}

EndpointScaler::ServiceState EndpointScaler::makeServiceState(SteadyTime now) const
{
    ServiceState state;
    state.outlook = ReclaimOutlook(m_options.outlook);
    state.maximumOnDemandAt = now;
    return state;
}

std::vector<ScalingCheckpoint> EndpointScaler::makeCheckpoints(SteadyTime now) const
{
    std::vector<ScalingCheckpoint> checkpoints;
    for (const auto& [name, state] : m_services) {
        ScalingCheckpoint checkpoint { .service = name, .needed = state.needed, .isSupplyExhausted = isReclaimableExhausted(state, now) };
        for (const auto& [key, accepted] : m_acceptedOrders) {
            if (key.service != name)
                continue;
            checkpoint.orders.push_back(key);
            checkpoint.orders.back().endpoints = accepted.endpoints;
        }
        checkpoints.push_back(std::move(checkpoint));
    }
    return checkpoints;
}

void EndpointScaler::restore(const std::vector<ScalingCheckpoint>& checkpoints, SteadyTime now)
{
    for (const auto& checkpoint : checkpoints) {
        if (checkpoint.needed == 0)
            continue;
        auto state = makeServiceState(now);
        state.needed = checkpoint.needed;
        state.floor = checkpoint.needed;
        state.floorUntil = now + m_options.scaleDownWindow;
        state.isInherited = true;
        state.hasSeenDemand = true;
        state.isOnDemandPlanned = true;
        if (checkpoint.isSupplyExhausted)
            recordRefusal(state, now);
        for (const auto& order : checkpoint.orders) {
            auto& zone = state.zones[order.zone];
            (order.reclaimable ? zone.reclaimableOrdered : zone.onDemandOrdered) = order.endpoints;
            if (order.reclaimable)
                state.reclaimableTarget = std::max(state.reclaimableTarget, order.endpoints);
            // The order's age is unknown. It counts as just sent, since its endpoints may still be booting.
            zone.reclaimableOrderedAt = now;
            m_acceptedOrders[orderKeyOf(order)] = { .endpoints = order.endpoints, .at = now };
        }
        m_services.insert_or_assign(checkpoint.service, std::move(state));
    }
}

void EndpointScaler::updateFromList(const TrafficService& service, const EndpointList& list, ServiceState& state, SteadyTime now)
{
    const auto& prices = service.scaling->zonePrices;
    // A zone with ordered endpoints may have been removed from the configuration since.
    std::erase_if(state.zones, [&](const auto& it) { return !prices.contains(it.first); });
    for (const auto& [zone, price] : prices) {
        state.zones[zone].reclaimable = 0;
        state.zones[zone].onDemand = 0;
    }
    std::map<std::string, unsigned> newlyLeaving;
    for (const auto& [id, endpoint] : list.endpoints) {
        auto zone = state.zones.find(endpoint.zone);
        if (endpoint.service != service.name || zone == state.zones.end())
            continue;
        state.slots = std::max(1U, endpoint.slots);
        if (!endpoint.leaving) {
            ++(endpoint.reclaimable ? zone->second.reclaimable : zone->second.onDemand);
            continue;
        }
        if (endpoint.reclaimable && m_knownLeaving.emplace(endpoint.life(), now).second)
            ++newlyLeaving[endpoint.zone];
    }
    recordLeaving(newlyLeaving, state, now);
    unsigned onDemand = 0;
    unsigned zonesWithReclaimable = 0;
    for (const auto& [name, zone] : state.zones) {
        onDemand += zone.onDemand;
        zonesWithReclaimable += zone.reclaimable > 0 ? 1 : 0;
    }
    // Only on-demand endpoints restart the settle time. Newly booted reclaimable ones don't, because the on-demand ones that they replace
    // are already listed.
    if (onDemand > state.maximumOnDemand) {
        state.maximumOnDemand = onDemand;
        state.maximumOnDemandAt = now;
    }
    state.outlook.advance(zonesWithReclaimable, now);
    for (auto& [name, zone] : state.zones) {
        if (!state.isOnDemandPlanned)
            zone.onDemandOrdered = zone.onDemand;
    }
    std::erase_if(m_knownLeaving, [&](const auto& it) { return !list.endpoints.contains(it.first.id); });
}

// A zone counts as being reclaimed if at least as many of its reclaimable endpoints start to drain, without having been released, as
// remain. Single ones that drain are being replaced or removed by operators.
void EndpointScaler::recordLeaving(const std::map<std::string, unsigned>& leavingByZone, ServiceState& state, SteadyTime now)
{
    for (const auto& [name, leaving] : leavingByZone) {
        auto& zone = state.zones[name];
        auto released = std::min(zone.pendingReleases, leaving);
        zone.pendingReleases -= released;
        auto reclaimed = leaving - released;
        if (reclaimed == 0)
            continue;
        // Crashed endpoints may still be listed, so the draining of fewer than all may also mean a reclaim. Counted only as a possible one.
        if (zone.reclaimable > reclaimed) {
            state.outlook.onPossibleReclaim(now);
            continue;
        }
        state.outlook.onReclaim(now);
        zone.cooldownUntil = std::max(zone.cooldownUntil, now + m_options.reclaimedZoneCooldown);
    }
}

// Until demand is known, the endpoints found at the start indicate how many are needed; the list fills as endpoints register. If an earlier
// holder of the duties has ordered endpoints, the on-demand ones replace unavailable reclaimable ones, and the reclaimable ones include
// spares.
void EndpointScaler::updateFloor(const ServiceDemand& demand, ServiceState& state, SteadyTime now)
{
    bool first = state.needed == 0;
    bool sawDemand = state.hasSeenDemand;
    state.hasSeenDemand = state.hasSeenDemand || demand.requestsPerSecond > 1;
    if (sawDemand && !first)
        return;
    unsigned onDemand = 0;
    unsigned reclaimable = 0;
    for (const auto& [name, zone] : state.zones) {
        onDemand += zone.onDemand;
        reclaimable += zone.reclaimable;
    }
    bool isInherited = first && (reclaimable > 0 || state.hasSeenDemand);
    // On-demand endpoints beside reclaimable ones indicate to a new holder that reclaimable ones were not available.
    if (isInherited && onDemand > 0 && reclaimable > 0)
        recordRefusal(state, now);
    // About as many reclaimable endpoints as one zone has are spares.
    auto zones = static_cast<double>(std::max<std::size_t>(2, state.zones.size()));
    auto found = isInherited ? onDemand + reclaimable * (zones - 1) / zones : onDemand * m_options.initialNeedShare;
    state.floor = std::max(state.floor, static_cast<unsigned>(std::ceil(found)));
    state.floorUntil = now + (isInherited || state.isInherited ? m_options.scaleDownWindow : m_options.demandWarmUpTime);
    state.isInherited = state.isInherited || isInherited;
}

void EndpointScaler::updateNeeded(const ServiceDemand& demand, ServiceState& state, SteadyTime now)
{
    updateFloor(demand, state, now);
    auto byPrefill = demand.busyEngines / m_options.targetPrefillShare;
    auto byStreams = demand.running / (state.slots * m_options.targetSlotShare);
    auto needed = static_cast<unsigned>(std::ceil(std::max({ byPrefill, byStreams, 1.0 })));
    state.needed = std::max(state.recentNeeded.take(needed, now, m_options.scaleDownWindow), now < state.floorUntil ? state.floor : 0);
}

bool EndpointScaler::isReclaimableExhausted(const ServiceState& state, SteadyTime now) const
{
    return state.refusedAt != SteadyTime {} && now - state.refusedAt < m_options.supplyExhaustedTime;
}

// Raises the number of reclaimable endpoints per zone as long as the expected loss prevented by one more per zone exceeds its price.
unsigned EndpointScaler::reclaimablePerZone(const ScalingBounds& bounds, const ServiceState& state, SteadyTime now) const
{
    auto chance = state.outlook.chanceWithin(std::chrono::duration<double>(bounds.bootTime).count(), now);
    double stepPrice = 0;
    for (const auto& [name, zone] : state.zones)
        stepPrice += now >= zone.cooldownUntil ? bounds.zonePrices.at(name) * bounds.reclaimablePrice : 0;
    auto loss = [&](unsigned reclaimableTarget) {
        std::vector<EndpointGroup> groups;
        for (const auto& [name, zone] : state.zones)
            groups.push_back({ .endpoints = now >= zone.cooldownUntil ? reclaimableTarget : zone.reclaimable, .chanceOfLoss = chance });
        return m_options.shortageCostFactor * expectedShortfall(state.needed, groups);
    };
    auto reclaimableTarget = std::max(1U, bounds.minimum);
    auto currentLoss = loss(reclaimableTarget);
    while (reclaimableTarget < bounds.maximum) {
        auto nextLoss = loss(reclaimableTarget + 1);
        if (currentLoss - nextLoss <= stepPrice)
            break;
        currentLoss = nextLoss;
        ++reclaimableTarget;
    }
    return reclaimableTarget;
}

// Lowers the per-zone target in steps, at most one per boot time. Released endpoints lose their cached prefixes, and the cache hits on
// these are part of the reason why the need appeared to be low.
unsigned EndpointScaler::limitScaleDown(unsigned target, const ScalingBounds& bounds, ServiceState& state, SteadyTime now) const
{
    auto last = state.reclaimableTarget;
    if (target >= last) {
        state.reclaimableTarget = target;
        return target;
    }
    if (now - state.lastLoweredAt < bounds.bootTime)
        return last;
    auto step = std::max(1U, static_cast<unsigned>(last * m_options.scaleDownStepShare));
    state.reclaimableTarget = std::max(target, last - step);
    state.lastLoweredAt = now;
    return state.reclaimableTarget;
}

void EndpointScaler::planReclaimable(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    auto target = state.recentReclaimableTargets.take(reclaimablePerZone(bounds, state, now), now, m_options.scaleDownWindow / 2);
    auto reclaimableTarget = limitScaleDown(target, bounds, state, now);
    for (auto& [name, zone] : state.zones) {
        if (now >= zone.cooldownUntil)
            zone.reclaimableOrdered = reclaimableTarget;
    }
}

// While no reclaimable endpoints are available, covers the missing endpoints and also those that losing further zones is likely enough to
// make missing. Otherwise keeps already ordered on-demand endpoints only until the reclaimable ones ordered in their place have registered,
// and orders new ones only for a shortfall that those don't cover: a new on-demand endpoint would not be ready sooner than a reclaimable
// one.
unsigned EndpointScaler::onDemandTarget(const ScalingBounds& bounds, const ServiceState& state, SteadyTime now) const
{
    unsigned reclaimable = 0;
    unsigned pending = 0;
    unsigned alreadyOrdered = 0;
    std::vector<EndpointGroup> groups;
    auto chance = state.outlook.chanceWithin(std::chrono::duration<double>(bounds.bootTime).count(), now);
    for (const auto& [name, zone] : state.zones) {
        reclaimable += zone.reclaimable;
        alreadyOrdered += zone.onDemandOrdered;
        if (now - zone.reclaimableOrderedAt < bounds.bootTime + m_options.bootMargin)
            pending += zone.reclaimableOrdered - std::min(zone.reclaimableOrdered, zone.reclaimable);
        groups.push_back({ .endpoints = zone.reclaimable, .chanceOfLoss = chance });
    }
    auto missing = state.needed - std::min(state.needed, reclaimable);
    if (!isReclaimableExhausted(state, now))
        return std::max(missing - std::min(missing, pending), std::min(alreadyOrdered, missing));
    auto price = std::min_element(bounds.zonePrices.begin(), bounds.zonePrices.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->second;
    auto chances = shortfallChances(state.needed, groups);
    auto worthCovering = std::count_if(chances.begin(), chances.end(), [&](double it) { return it * m_options.shortageCostFactor > price; });
    return std::max(missing, static_cast<unsigned>(worthCovering));
}

void EndpointScaler::planOnDemand(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    unsigned ordered = 0;
    for (const auto& [name, zone] : state.zones)
        ordered += zone.onDemandOrdered;
    auto wanted = onDemandTarget(bounds, state, now);
    std::vector<std::pair<double, std::string>> byPrice;
    for (const auto& [name, price] : bounds.zonePrices)
        byPrice.emplace_back(price, name);
    std::sort(byPrice.begin(), byPrice.end());
    // Running endpoints are not moved. Releases start in the most expensive zone; new ones go round-robin to the cheaper half of the zones.
    for (auto it = byPrice.rbegin(); it != byPrice.rend() && ordered > wanted; ++it) {
        auto& zone = state.zones[it->second];
        auto removed = std::min(zone.onDemandOrdered, ordered - wanted);
        zone.onDemandOrdered -= removed;
        ordered -= removed;
    }
    auto cheaperZones = std::max<std::size_t>(1, byPrice.size() / 2);
    for (std::size_t n = 0; ordered < wanted && n < cheaperZones * bounds.maximum; ++n) {
        auto& zone = state.zones[byPrice[n % cheaperZones].second];
        if (zone.onDemandOrdered + zone.reclaimable >= bounds.maximum)
            continue;
        ++zone.onDemandOrdered;
        ++ordered;
    }
}

// Appends the order, unless the same order was accepted and either the endpoint list reflects it or repeatOrderAfter has not passed since
// then. Each call to the cloud has a price.
void EndpointScaler::addUnlessAccepted(const ScaleOrder& order, unsigned listed, SteadyTime now, std::vector<ScaleOrder>& orders)
{
    auto accepted = m_acceptedOrders.find(orderKeyOf(order));
    bool isListed = listed == order.endpoints;
    bool isInForce = accepted != m_acceptedOrders.end() && accepted->second.endpoints == order.endpoints && (isListed || now - accepted->second.at < m_options.repeatOrderAfter);
    if (!isInForce)
        orders.push_back(order);
}

std::vector<ScaleOrder> EndpointScaler::orders(
    const TrafficConfiguration& configuration, const EndpointList& list, const std::map<std::string, ServiceDemand>& demand, SteadyTime now)
{
    std::vector<ScaleOrder> orders;
    for (const auto& service : configuration.declaration().services) {
        if (!service.scaling || service.scaling->zonePrices.empty())
            continue;
        auto& state = m_services.try_emplace(service.name, makeServiceState(now)).first->second;
        auto found = demand.find(service.name);
        updateFromList(service, list, state, now);
        updateNeeded(found == demand.end() ? ServiceDemand {} : found->second, state, now);
        bool hasReclaimable = service.scaling->reclaimablePrice < 1;
        if (hasReclaimable)
            planReclaimable(*service.scaling, state, now);
        for (const auto& [name, zone] : state.zones) {
            if (hasReclaimable && now >= zone.cooldownUntil)
                addUnlessAccepted({ .service = service.name, .zone = name, .reclaimable = true, .endpoints = zone.reclaimableOrdered }, zone.reclaimable, now, orders);
        }
        if (now - state.maximumOnDemandAt >= m_options.listSettleTime || state.hasSeenDemand) {
            state.isOnDemandPlanned = true;
            planOnDemand(*service.scaling, state, now);
            for (const auto& [name, zone] : state.zones) {
                if (zone.onDemandOrdered != zone.onDemand)
                    addUnlessAccepted({ .service = service.name, .zone = name, .reclaimable = false, .endpoints = zone.onDemandOrdered }, zone.onDemand, now, orders);
            }
        }
        recordDecision(service.name, found == demand.end() ? ServiceDemand {} : found->second, state, now);
    }
    return orders;
}

void EndpointScaler::recordDecision(const std::string& service, const ServiceDemand& demand, const ServiceState& state, SteadyTime now)
{
    ScaleDecision decision {
        .service = service,
        .needed = state.needed,
        .floor = now < state.floorUntil ? state.floor : 0,
        .busyEngines = demand.busyEngines,
        .running = demand.running,
        .reclaimChance = state.outlook.chanceWithin(1, now),
        .isSupplyExhausted = isReclaimableExhausted(state, now),
    };
    for (const auto& [name, zone] : state.zones) {
        decision.reclaimableOrdered += zone.reclaimableOrdered;
        decision.onDemandOrdered += zone.onDemandOrdered;
    }
    auto& last = m_decisions[service];
    if (decision.sameOutcome(last))
        return;
    last = decision;
    m_newDecisions.push_back(std::move(decision));
}

std::vector<ScaleDecision> EndpointScaler::takeDecisions() { return std::exchange(m_newDecisions, {}); }

void EndpointScaler::onAccepted(const ScaleOrder& order, SteadyTime now)
{
    m_acceptedOrders[orderKeyOf(order)] = { .endpoints = order.endpoints, .at = now };
    auto& zone = m_services[order.service].zones[order.zone];
    if (!order.reclaimable)
        return;
    if (order.endpoints > zone.reclaimable)
        zone.reclaimableOrderedAt = now;
    zone.pendingReleases = zone.reclaimable - std::min(zone.reclaimable, order.endpoints);
}

void EndpointScaler::recordRefusal(ServiceState& state, SteadyTime now)
{
    state.refusedAt = now;
    state.outlook.onPossibleReclaim(now);
}

void EndpointScaler::onRefused(const ScaleOrder& order, SteadyTime now)
{
    if (!order.reclaimable)
        return;
    auto& state = m_services[order.service];
    state.zones[order.zone].cooldownUntil = now + m_options.refusedZoneCooldown;
    recordRefusal(state, now);
}

} // namespace Onyxnotch
