#include "modules/duty/endpoint_scaler.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Onyxnotch {

namespace {

    ScaleOrder subjectOf(ScaleOrder order)
    {
        order.endpoints = 0;
        return order;
    }

} // namespace

EndpointScaler::EndpointScaler(const EndpointScalerOptions& options)
    : m_options(options)
{
}

EndpointScaler::ServiceState EndpointScaler::freshState(SteadyTime now) const
{
    ServiceState state;
    state.outlook = ReclaimOutlook(m_options.outlook);
    state.listGrewAt = now;
    return state;
}

std::vector<ScaleMemory> EndpointScaler::memory(SteadyTime now) const
{
    std::vector<ScaleMemory> memories;
    for (const auto& [name, state] : m_services) {
        ScaleMemory memory { .service = name, .needed = state.needed, .dry = isDry(state, now) };
        for (const auto& [subject, given] : m_given) {
            if (subject.service != name)
                continue;
            memory.orders.push_back(subject);
            memory.orders.back().endpoints = given.endpoints;
        }
        memories.push_back(std::move(memory));
    }
    return memories;
}

void EndpointScaler::adopt(const std::vector<ScaleMemory>& memories, SteadyTime now)
{
    for (const auto& memory : memories) {
        if (memory.needed == 0)
            continue;
        auto state = freshState(now);
        state.needed = memory.needed;
        state.floor = memory.needed;
        state.floorUntil = now + m_options.lowerAfter;
        state.takenOver = true;
        state.demandSeen = true;
        state.lastingPlanned = true;
        if (memory.dry)
            noteRefusal(state, now);
        for (const auto& order : memory.orders) {
            auto& zone = state.zones[order.zone];
            (order.reclaimable ? zone.reclaimableOrdered : zone.lastingOrdered) = order.endpoints;
            if (order.reclaimable)
                state.perZone = std::max(state.perZone, order.endpoints);
            // They may have been ordered just before.
            zone.reclaimableOrderedAt = now;
            m_given[subjectOf(order)] = { .endpoints = order.endpoints, .at = now };
        }
        m_services.insert_or_assign(memory.service, std::move(state));
    }
}

void EndpointScaler::readList(const TrafficService& service, const EndpointList& list, ServiceState& state, SteadyTime now)
{
    const auto& prices = service.scaling->zonePrices;
    // A zone may have been taken out of the configuration since it was ordered in.
    std::erase_if(state.zones, [&](const auto& it) { return !prices.contains(it.first); });
    for (const auto& [zone, price] : prices) {
        state.zones[zone].reclaimable = 0;
        state.zones[zone].lasting = 0;
    }
    std::map<std::string, unsigned> newlyLeaving;
    for (const auto& [id, endpoint] : list.endpoints) {
        auto zone = state.zones.find(endpoint.zone);
        if (endpoint.service != service.name || zone == state.zones.end())
            continue;
        state.slots = std::max(1U, endpoint.slots);
        if (!endpoint.leaving) {
            ++(endpoint.reclaimable ? zone->second.reclaimable : zone->second.lasting);
            continue;
        }
        if (endpoint.reclaimable && m_leavingSeen.emplace(endpoint.life(), now).second)
            ++newlyLeaving[endpoint.zone];
    }
    noteLeaving(newlyLeaving, state, now);
    unsigned lasting = 0;
    unsigned zonesHeld = 0;
    for (const auto& [name, zone] : state.zones) {
        lasting += zone.lasting;
        zonesHeld += zone.reclaimable > 0 ? 1 : 0;
    }
    // Reclaimable ones that have just booted are no reason to wait: the lasting ones that they replace are known.
    if (lasting > state.mostLasting) {
        state.mostLasting = lasting;
        state.listGrewAt = now;
    }
    state.outlook.advance(zonesHeld, now);
    for (auto& [name, zone] : state.zones) {
        if (!state.lastingPlanned)
            zone.lastingOrdered = zone.lasting;
    }
    std::erase_if(m_leavingSeen, [&](const auto& it) { return !list.endpoints.contains(it.first.id); });
}

// A zone is being reclaimed where most of it leaves although it was ordered. Single ones are replaced or taken out by operators.
void EndpointScaler::noteLeaving(const std::map<std::string, unsigned>& leavingByZone, ServiceState& state, SteadyTime now)
{
    for (const auto& [name, leaving] : leavingByZone) {
        auto& zone = state.zones[name];
        auto ours = std::min(zone.givenBack, leaving);
        zone.givenBack -= ours;
        auto taken = leaving - ours;
        if (taken == 0)
            continue;
        // The list may still hold some that have crashed: fewer than all may be the sign of a reclaim as well, and is no more than that.
        if (zone.reclaimable > taken) {
            state.outlook.onSign(now);
            continue;
        }
        state.outlook.onReclaim(now);
        zone.closedUntil = std::max(zone.closedUntil, now + m_options.reclaimedFor);
    }
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
    // Where some stand in for others, none were to be had, as far as a new holder knows.
    if (takenOver && lasting > 0 && reclaimable > 0)
        noteRefusal(state, now);
    // About one zone's worth of the reclaimable ones is there to spare.
    auto zones = static_cast<double>(std::max<std::size_t>(2, state.zones.size()));
    auto found = takenOver ? lasting + reclaimable * (zones - 1) / zones : lasting * m_options.initialPart;
    state.floor = std::max(state.floor, static_cast<unsigned>(std::ceil(found)));
    state.floorUntil = now + (takenOver || state.takenOver ? m_options.lowerAfter : m_options.demandKnownAfter);
    state.takenOver = state.takenOver || takenOver;
}

void EndpointScaler::updateNeeded(const ServiceDemand& demand, ServiceState& state, SteadyTime now)
{
    updateFloor(demand, state, now);
    auto byPrefill = demand.busyEngines / m_options.prefillPart;
    auto byStreams = demand.running / (state.slots * m_options.slotsPart);
    auto needed = static_cast<unsigned>(std::ceil(std::max({ byPrefill, byStreams, 1.0 })));
    state.needed = std::max(state.recentNeeds.take(needed, now, m_options.lowerAfter), now < state.floorUntil ? state.floor : 0);
}

bool EndpointScaler::isDry(const ServiceState& state, SteadyTime now) const
{
    return state.refusedAt != SteadyTime {} && now - state.refusedAt < m_options.dryFor;
}

// More in each zone as long as the loss that they prevent is dearer than they are.
unsigned EndpointScaler::reclaimablePerZone(const ScalingBounds& bounds, const ServiceState& state, SteadyTime now) const
{
    auto chance = state.outlook.chanceWithin(std::chrono::duration<double>(bounds.bootTime).count(), now);
    double stepPrice = 0;
    for (const auto& [name, zone] : state.zones)
        stepPrice += now >= zone.closedUntil ? bounds.zonePrices.at(name) * bounds.reclaimablePrice : 0;
    auto loss = [&](unsigned perZone) {
        std::vector<EndpointGroup> groups;
        for (const auto& [name, zone] : state.zones)
            groups.push_back({ .endpoints = now >= zone.closedUntil ? perZone : zone.reclaimable, .chanceOfLoss = chance });
        auto chances = shortfallChances(state.needed, groups);
        return m_options.workValue * std::accumulate(chances.begin(), chances.end(), 0.0);
    };
    auto least = std::max(1U, bounds.minimum);
    auto perZone = least;
    while (perZone < bounds.maximum && loss(perZone) - loss(perZone + 1) > stepPrice)
        ++perZone;
    return perZone;
}

// What is given back takes its prefixes with it, and these are part of why so few seemed to be needed.
unsigned EndpointScaler::lowerInSteps(unsigned target, const ScalingBounds& bounds, ServiceState& state, SteadyTime now) const
{
    auto last = state.perZone;
    if (target >= last) {
        state.perZone = target;
        return target;
    }
    if (now - state.loweredAt < bounds.bootTime)
        return last;
    auto step = std::max(1U, static_cast<unsigned>(last * m_options.lowerPart));
    state.perZone = std::max(target, last - step);
    state.loweredAt = now;
    return state.perZone;
}

void EndpointScaler::planReclaimable(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    auto target = state.recentPerZone.take(reclaimablePerZone(bounds, state, now), now, m_options.lowerAfter / 2);
    auto perZone = lowerInSteps(target, bounds, state, now);
    for (auto& [name, zone] : state.zones) {
        if (now >= zone.closedUntil)
            zone.reclaimableOrdered = perZone;
    }
}

// While none are to be had, as many as the loss of further zones makes likely to be missing. Else only those that stand already stay,
// until what was ordered in their place is there: a new one would not come sooner than a reclaimable one.
unsigned EndpointScaler::wantedLasting(const ScalingBounds& bounds, const ServiceState& state, SteadyTime now) const
{
    unsigned reclaimable = 0;
    unsigned coming = 0;
    unsigned standing = 0;
    std::vector<EndpointGroup> groups;
    auto chance = state.outlook.chanceWithin(std::chrono::duration<double>(bounds.bootTime).count(), now);
    for (const auto& [name, zone] : state.zones) {
        reclaimable += zone.reclaimable;
        standing += zone.lastingOrdered;
        if (now - zone.reclaimableOrderedAt < bounds.bootTime + m_options.bootMargin)
            coming += zone.reclaimableOrdered - std::min(zone.reclaimableOrdered, zone.reclaimable);
        groups.push_back({ .endpoints = zone.reclaimable, .chanceOfLoss = chance });
    }
    auto missing = state.needed - std::min(state.needed, reclaimable);
    if (!isDry(state, now))
        return std::max(missing - std::min(missing, coming), std::min(standing, missing));
    auto price = std::min_element(bounds.zonePrices.begin(), bounds.zonePrices.end(), [](const auto& left, const auto& right) { return left.second < right.second; })->second;
    auto chances = shortfallChances(state.needed, groups);
    auto pays = std::count_if(chances.begin(), chances.end(), [&](double it) { return it * m_options.workValue > price; });
    return std::max(missing, static_cast<unsigned>(pays));
}

void EndpointScaler::planLasting(const ScalingBounds& bounds, ServiceState& state, SteadyTime now)
{
    unsigned ordered = 0;
    for (const auto& [name, zone] : state.zones)
        ordered += zone.lastingOrdered;
    auto wanted = wantedLasting(bounds, state, now);
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

// An order that was taken is given again only where it does not show in the list: each call has a price.
void EndpointScaler::add(const ScaleOrder& order, unsigned listed, SteadyTime now, std::vector<ScaleOrder>& orders)
{
    auto given = m_given.find(subjectOf(order));
    bool shows = listed == order.endpoints;
    bool stands = given != m_given.end() && given->second.endpoints == order.endpoints && (shows || now - given->second.at < m_options.repeatAfter);
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
        auto& state = m_services.try_emplace(service.name, freshState(now)).first->second;
        auto found = demand.find(service.name);
        readList(service, list, state, now);
        updateNeeded(found == demand.end() ? ServiceDemand {} : found->second, state, now);
        bool hasReclaimable = service.scaling->reclaimablePrice < 1;
        if (hasReclaimable)
            planReclaimable(*service.scaling, state, now);
        for (const auto& [name, zone] : state.zones) {
            if (hasReclaimable && now >= zone.closedUntil)
                add({ .service = service.name, .zone = name, .reclaimable = true, .endpoints = zone.reclaimableOrdered }, zone.reclaimable, now, orders);
        }
        if (now - state.listGrewAt >= m_options.listSettles || state.demandSeen) {
            state.lastingPlanned = true;
            planLasting(*service.scaling, state, now);
            for (const auto& [name, zone] : state.zones) {
                if (zone.lastingOrdered != zone.lasting)
                    add({ .service = service.name, .zone = name, .reclaimable = false, .endpoints = zone.lastingOrdered }, zone.lasting, now, orders);
            }
        }
        noteDecision(service.name, found == demand.end() ? ServiceDemand {} : found->second, state, now);
    }
    return orders;
}

void EndpointScaler::noteDecision(const std::string& service, const ServiceDemand& demand, const ServiceState& state, SteadyTime now)
{
    ScaleDecision decision {
        .service = service,
        .needed = state.needed,
        .floor = now < state.floorUntil ? state.floor : 0,
        .busyEngines = demand.busyEngines,
        .running = demand.running,
        .chanceOfReclaim = state.outlook.chanceWithin(1, now),
        .dry = isDry(state, now),
    };
    for (const auto& [name, zone] : state.zones) {
        decision.reclaimableOrdered += zone.reclaimableOrdered;
        decision.lastingOrdered += zone.lastingOrdered;
    }
    auto& last = m_decisions[service];
    if (decision.sameOutcome(last))
        return;
    last = decision;
    m_newDecisions.push_back(std::move(decision));
}

std::vector<ScaleDecision> EndpointScaler::takeDecisions() { return std::exchange(m_newDecisions, {}); }

void EndpointScaler::ordered(const ScaleOrder& order, SteadyTime now)
{
    m_given[subjectOf(order)] = { .endpoints = order.endpoints, .at = now };
    auto& zone = m_services[order.service].zones[order.zone];
    if (!order.reclaimable)
        return;
    if (order.endpoints > zone.reclaimable)
        zone.reclaimableOrderedAt = now;
    zone.givenBack = zone.reclaimable - std::min(zone.reclaimable, order.endpoints);
}

void EndpointScaler::noteRefusal(ServiceState& state, SteadyTime now)
{
    state.refusedAt = now;
    state.outlook.onSign(now);
}

void EndpointScaler::refused(const ScaleOrder& order, SteadyTime now)
{
    if (!order.reclaimable)
        return;
    auto& state = m_services[order.service];
    state.zones[order.zone].closedUntil = now + m_options.refusedFor;
    noteRefusal(state, now);
}

} // namespace Onyxnotch
