#include "modules/duty/endpoint_scaler.h"

#include <algorithm>
#include <cmath>

namespace Onyxnotch {

namespace {

    ScaleOrder subjectOf(ScaleOrder order)
    {
        order.endpoints = 0;
        return order;
    }

    unsigned ceilDivide(unsigned left, unsigned right) { return (left + right - 1) / right; }

} // namespace

EndpointScaler::EndpointScaler(const EndpointScalerOptions& options)
    : m_options(options)
{
}

void EndpointScaler::readList(const TrafficService& service, const EndpointList& list, ServiceState& state, SteadyTime now)
{
    for (const auto& [zone, price] : service.scaling->zonePrices) {
        state.zones[zone].reclaimable = 0;
        state.zones[zone].lasting = 0;
    }
    for (const auto& [id, endpoint] : list.endpoints) {
        auto zone = state.zones.find(endpoint.zone);
        if (endpoint.service != service.name || zone == state.zones.end())
            continue;
        state.slots = std::max(1U, endpoint.slots);
        if (!endpoint.leaving) {
            ++(endpoint.reclaimable ? zone->second.reclaimable : zone->second.lasting);
            continue;
        }
        // One that leaves although it was ordered is being taken away.
        bool news = endpoint.reclaimable && m_leavingSeen.emplace(id, now).second;
        if (news && zone->second.reclaimableOrdered > 0) {
            zone->second.closedUntil = std::max(zone->second.closedUntil, now + m_options.reclaimedFor);
            state.shortageSeenAt = now;
        }
    }
    for (auto& [name, zone] : state.zones) {
        if (!state.lastingPlanned)
            zone.lastingOrdered = zone.lasting;
    }
    std::erase_if(m_leavingSeen, [&](const auto& it) { return !list.endpoints.contains(it.first); });
}

// The list fills as endpoints register; what was there before us tells how much is usual. Where an earlier holder of the duty has
// ordered, the lasting ones stand in for others, and the reclaimable ones have some to spare.
void EndpointScaler::updateFloor(const ServiceDemand& demand, ServiceState& state, SteadyTime now)
{
    bool first = state.needed == 0;
    bool sawDemand = state.demandSeen;
    state.demandSeen = state.demandSeen || demand.requestsPerSecond > 1;
    if (sawDemand && !first)
        return;
    unsigned lasting = 0;
    unsigned reclaimable = 0;
    for (const auto& [name, zone] : state.zones) {
        lasting += zone.lasting;
        reclaimable += zone.reclaimable;
    }
    bool takenOver = first && (reclaimable > 0 || state.demandSeen);
    auto found = takenOver ? lasting + reclaimable / m_options.reclaimableSpare : lasting * m_options.initialPart;
    state.floor = std::max(state.floor, static_cast<unsigned>(std::ceil(found)));
    state.floorUntil = now + m_options.lowerAfter;
}

void EndpointScaler::updateNeeded(const ServiceDemand& demand, ServiceState& state, SteadyTime now)
{
    updateFloor(demand, state, now);
    auto byPrefill = demand.busyEngines / m_options.prefillPart;
    auto byStreams = demand.running / (state.slots * m_options.slotsPart);
    auto needed = static_cast<unsigned>(std::ceil(std::max({ byPrefill, byStreams, 1.0 })));
    auto& recent = state.recentNeeds;
    while (!recent.empty() && recent.back().endpoints <= needed)
        recent.pop_back();
    recent.push_back({ .at = now, .endpoints = needed });
    while (now - recent.front().at > m_options.lowerAfter)
        recent.pop_front();
    state.needed = std::max(recent.front().endpoints, now < state.floorUntil ? state.floor : 0);
}

void EndpointScaler::planReclaimable(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    unsigned open = 0;
    unsigned closedCount = 0;
    for (const auto& [name, zone] : state.zones) {
        if (now >= zone.closedUntil)
            ++open;
        else
            closedCount += zone.reclaimable;
    }
    auto zones = static_cast<unsigned>(state.zones.size());
    // At least one zone's worth more than needed.
    auto total = std::max(zones > 1 ? ceilDivide(state.needed * zones, zones - 1) : state.needed,
        static_cast<unsigned>(std::ceil(state.needed * m_options.reclaimableSpare)));
    auto perZone = open > 0 ? ceilDivide(total - std::min(total, closedCount), open) : 0;
    // No zone may hold so much that the others could not stand in for it.
    perZone = std::min(perZone, ceilDivide(total, std::max(1U, zones / 2)));
    for (auto& [name, zone] : state.zones) {
        if (now >= zone.closedUntil)
            zone.reclaimableOrdered = std::clamp(perZone, std::max(1U, bounds.minimum), bounds.maximum);
    }
}

void EndpointScaler::planLasting(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    unsigned reclaimable = 0;
    unsigned largest = 0;
    unsigned ordered = 0;
    for (const auto& [name, zone] : state.zones) {
        reclaimable += zone.reclaimable;
        largest = std::max(largest, zone.reclaimable);
        ordered += zone.lastingOrdered;
    }
    bool inShortage = state.shortageSeenAt != SteadyTime {} && now - state.shortageSeenAt < m_options.settledAfter;
    // In a shortage the next zone may go as well, and nothing is given back.
    auto counted = inShortage ? reclaimable - largest : reclaimable;
    auto wanted = state.needed - std::min(state.needed, counted);
    wanted = inShortage ? std::max(wanted, ordered) : std::min(wanted, ordered);
    std::vector<std::pair<double, std::string>> byPrice;
    for (const auto& [name, price] : bounds.zonePrices)
        byPrice.emplace_back(price, name);
    std::sort(byPrice.begin(), byPrice.end());
    // What runs stays where it is: the dearest go first, and new ones come to the cheaper half of the zones in turn.
    for (auto it = byPrice.rbegin(); it != byPrice.rend() && ordered > wanted; ++it) {
        auto& zone = state.zones[it->second];
        auto fewer = std::min(zone.lastingOrdered, ordered - wanted);
        zone.lastingOrdered -= fewer;
        ordered -= fewer;
    }
    auto cheaper = std::max<std::size_t>(1, byPrice.size() / 2);
    for (std::size_t n = 0; ordered < wanted && n < cheaper * bounds.maximum; ++n) {
        auto& zone = state.zones[byPrice[n % cheaper].second];
        if (zone.lastingOrdered + zone.reclaimable >= bounds.maximum)
            continue;
        ++zone.lastingOrdered;
        ++ordered;
    }
}

void EndpointScaler::add(const ScaleOrder& order, SteadyTime now, std::vector<ScaleOrder>& orders)
{
    auto given = m_given.find(subjectOf(order));
    bool stands = given != m_given.end() && given->second.endpoints == order.endpoints && now - given->second.at < m_options.repeatAfter;
    if (!stands)
        orders.push_back(order);
}

std::vector<ScaleOrder> EndpointScaler::orders(
    const TrafficConfiguration& configuration, const EndpointList& list, const std::map<std::string, ServiceDemand>& demand, SteadyTime now)
{
    std::vector<ScaleOrder> orders;
    for (const auto& service : configuration.declaration().services) {
        if (!service.scaling || service.scaling->zonePrices.empty())
            continue;
        auto& state = m_services[service.name];
        auto found = demand.find(service.name);
        readList(service, list, state, now);
        updateNeeded(found == demand.end() ? ServiceDemand {} : found->second, state, now);
        bool hasReclaimable = service.scaling->reclaimablePrice < 1;
        if (hasReclaimable)
            planReclaimable(*service.scaling, state, now);
        unsigned reclaimable = 0;
        for (const auto& [name, zone] : state.zones) {
            reclaimable += zone.reclaimable;
            if (hasReclaimable && now >= zone.closedUntil)
                add({ .service = service.name, .zone = name, .reclaimable = true, .endpoints = zone.reclaimableOrdered }, now, orders);
        }
        // What was there at the start stays until something stands in for it.
        bool started = state.demandSeen || reclaimable >= state.needed;
        if (!started)
            continue;
        state.lastingPlanned = true;
        planLasting(*service.scaling, state, now);
        for (const auto& [name, zone] : state.zones) {
            if (zone.lastingOrdered != zone.lasting)
                add({ .service = service.name, .zone = name, .reclaimable = false, .endpoints = zone.lastingOrdered }, now, orders);
        }
    }
    return orders;
}

void EndpointScaler::ordered(const ScaleOrder& order, SteadyTime now) { m_given[subjectOf(order)] = { .endpoints = order.endpoints, .at = now }; }

void EndpointScaler::refused(const ScaleOrder& order, SteadyTime now)
{
    if (!order.reclaimable)
        return;
    auto& state = m_services[order.service];
    state.zones[order.zone].closedUntil = now + m_options.refusedFor;
    state.shortageSeenAt = now;
}

} // namespace Onyxnotch
