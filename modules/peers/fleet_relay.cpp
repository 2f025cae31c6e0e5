#include "modules/peers/fleet_relay.h"

#include <algorithm>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumOwnRows = 16; // Four seconds of rows, 1.6 s after the start; no usable aggregate has an older one.

    // Removes duplicate endpoint incarnations, then all after the first `most`; each row lists its newest first.
    void keepDistinct(std::vector<EndpointIncarnation>& lives, std::size_t most)
    {
        std::set<EndpointIncarnation> seen;
        std::erase_if(lives, [&](const auto& it) { return !seen.insert(it).second; });
        if (lives.size() > most)
            lives.resize(most);
    }

} // namespace

FleetRelay::FleetRelay(PeerTable& table, const FleetRelayOptions& options, SteadyTime startedAt)
    : m_table(table)
    , m_options(options)
    , m_startedAt(startedAt)
    , m_zoneTotals(startedAt)
    , m_otherTotals(startedAt)
    , m_choice(options.choice)
    , m_random(options.randomSeed)
{
}

Milliseconds FleetRelay::period(SteadyTime now) const
{
    if (!isStarting(now))
        return m_options.period;
    auto byZone = m_options.startPeriodPerNode * static_cast<int>(m_table.contactsIn(m_options.zone).size());
    return std::clamp(byZone, std::min(m_options.startPeriod, m_options.period), m_options.period);
}

bool FleetRelay::isNeeded(unsigned listed) const
{
    auto known = std::max<std::size_t>(listed, m_table.contacts().size() + 1);
    for (const auto& [relay, received] : m_fleetAggregates)
        known = std::max<std::size_t>(known, received.sum.nodes);
    return known > m_options.everyNodeUpTo;
}

void FleetRelay::setOwnRow(const PeerRow& row, SteadyTime now)
{
    m_ownRow = row;
    m_ownClockDifference = static_cast<std::int64_t>(row.sentAtMilliseconds) - steadyMilliseconds(now);
    m_self = row.contact();
    auto contacts = m_table.contactsIn(m_options.zone);
    contacts.push_back(m_self);
    m_ownZoneRelays = m_choice.choose(contacts, m_options.node, now);
    m_zoneTotals.update(row.node, row.lifetime, Milliseconds(0), row.teamTotals, now);
    m_ownRows.push_back({ .sequence = row.sequence, .teamTotals = row.teamTotals, .loads = row.loads, .trials = row.versions.trials });
    if (m_ownRows.size() > maximumOwnRows)
        m_ownRows.pop_front();
}

void FleetRelay::onRow(const PeerRow& row, SteadyTime now)
{
    if (row.zone != m_options.zone)
        return;
    m_members[row.node] = now;
    m_reportReceivedAt = now;
    auto age = Milliseconds(row.ageMilliseconds);
    m_zoneTotals.update(row.node, row.lifetime, age, row.teamTotals, now);
    m_otherTotals.update(row.node, row.lifetime, age, row.teamTotals, now);
}

// Returns false for an aggregate that is not newer than the stored one of the same relay node.
bool FleetRelay::storeIfNewer(std::map<std::string, ReceivedAggregate>& aggregatesByRelay, const GroupAggregate& sum, SteadyTime now)
{
    auto [it, added] = aggregatesByRelay.try_emplace(sum.relay.node);
    auto& known = it->second;
    bool older = !added && (sum.relay.lifetime < known.sum.relay.lifetime || (sum.relay.lifetime == known.sum.relay.lifetime && sum.sequence <= known.sum.sequence));
    if (older)
        return false;
    if (!added && sum.relay.lifetime > known.sum.relay.lifetime)
        m_restartedRelays.push_back(sum.relay.gossipAddress);
    known.sum = sum;
    known.receivedAt = now;
    known.clockDifference = static_cast<std::int64_t>(sum.fleetTimeMilliseconds) - steadyMilliseconds(now);
    refreshContacts(sum, now);
    return true;
}

void FleetRelay::refreshContacts(const GroupAggregate& sum, SteadyTime now)
{
    m_table.refreshContact(sum.relay, now);
    for (const auto& it : sum.contacts)
        m_table.refreshContact(it, now);
}

void FleetRelay::onZoneAggregate(const GroupAggregate& sum, SteadyTime now)
{
    if (sum.relay.zone.empty() || sum.relay.zone == m_options.zone)
        return;
    auto& zone = m_remoteZones[sum.relay.zone];
    if (!storeIfNewer(zone.aggregatesByRelay, sum, now))
        return;
    m_reportReceivedAt = now;
    zone.teamTotals.update(sum.relay.node, sum.relay.lifetime, false, sum.teamTotals, now);
    zone.choice.onAnswer(sum.relay.node, now);
}

const FleetRelay::OwnRow* FleetRelay::includedOwnRow(const GroupAggregate& sum) const
{
    auto counted = sum.counted.find(shortNameOf(m_options.node));
    if (counted == sum.counted.end())
        return nullptr;
    auto it = std::find_if(m_ownRows.begin(), m_ownRows.end(), [&](const auto& row) { return row.sequence == counted->second; });
    return it == m_ownRows.end() ? nullptr : &*it;
}

void FleetRelay::onFleetAggregate(const GroupAggregate& sum, SteadyTime now)
{
    if (sum.relay.zone != m_options.zone || sum.relay.node == m_options.node)
        return;
    if (!storeIfNewer(m_fleetAggregates, sum, now))
        return;
    m_choice.onAnswer(sum.relay.node, now);
    auto& known = m_fleetAggregates[sum.relay.node];
    bool isIncluded = includedOwnRow(sum) != nullptr;
    // If this node's row was included before but is not now, or the reverse, the totals cannot be compared with the previous ones.
    bool realign = isIncluded != known.isThisNodeIncluded;
    known.isThisNodeIncluded = isIncluded;
    m_fleetTotals.update(sum.relay.node, sum.relay.lifetime, realign, withoutOwnRow(sum).teamTotals, now);
    m_totalsReceivedAt = now;
}

GroupAggregate FleetRelay::withoutOwnRow(GroupAggregate sum) const
{
    const auto* own = includedOwnRow(sum);
    if (!own)
        return sum;
    sum.nodes -= std::min(sum.nodes, 1U);
    for (const auto& [team, total] : own->teamTotals)
        sum.teamTotals[team] -= total;
    for (const auto& it : own->loads)
        addLoad(sum.loads, shortNameOf(it.endpoint), -it.inFlight, -it.waitingTokens);
    for (const auto& [route, counts] : own->trials)
        sum.versions.trials[route] -= counts;
    for (const auto& [service, demand] : m_ownRow.demand)
        sum.demand[service] -= demand;
    std::erase_if(sum.dutyHolders, [&](const auto& it) { return it.node == m_options.node; });
    std::erase_if(sum.formerDutyHolders, [&](const auto& it) { return it.node == m_options.node; });
    std::erase_if(sum.watchers, [&](const auto& it) { return it.node == m_options.node; });
    // The next candidate is not in the aggregate; it is enough to know that this node is the first one.
    if (sum.firstCandidate == m_options.node)
        sum.firstCandidate.clear();
    return sum;
}

std::vector<Address> FleetRelay::rowReceivers() const
{
    std::vector<Address> addresses;
    for (const auto& it : m_ownZoneRelays) {
        if (it.node != m_options.node)
            addresses.push_back(it.gossipAddress);
    }
    return addresses;
}

bool FleetRelay::isRelay(SteadyTime now)
{
    std::erase_if(m_members, [&](const auto& it) { return now - it.second > m_options.freshFor; });
    bool chosen = std::any_of(m_ownZoneRelays.begin(), m_ownZoneRelays.end(), [&](const auto& it) { return it.node == m_options.node; });
    return chosen || !m_members.empty();
}

std::vector<const PeerRow*> FleetRelay::freshRows(SteadyTime now) const
{
    auto rows = m_table.alive(now);
    std::erase_if(rows, [&](const auto* it) { return it->zone != m_options.zone; });
    return rows;
}

std::vector<StoreWatcher> FleetRelay::zoneWatchers(SteadyTime now, bool includeOwnRow) const
{
    auto rows = m_table.heardWithin(m_options.watcherFreshFor, now);
    if (includeOwnRow)
        rows.push_back(&m_ownRow);
    std::vector<StoreWatcher> watchers;
    for (const auto* row : rows) {
        if (row->zone == m_options.zone && row->watchesStore && !row->leaving)
            watchers.push_back({ .zone = row->zone, .node = row->node });
    }
    std::sort(watchers.begin(), watchers.end());
    if (watchers.size() > m_options.watchersPerAggregate)
        watchers.resize(m_options.watchersPerAggregate);
    return watchers;
}

GroupAggregate FleetRelay::zoneAggregate(SteadyTime now, bool includeOwnRow)
{
    GroupAggregate sum { .relay = m_self };
    auto rows = freshRows(now);
    if (includeOwnRow)
        rows.push_back(&m_ownRow);
    for (const auto* row : rows) {
        addRow(sum, *row, m_options.zone);
        sum.counted[shortNameOf(row->node)] = row->sequence;
    }
    sum.watchers = zoneWatchers(now, includeOwnRow);
    sum.silentNodes = m_table.silentIn(m_options.zone, m_options.silentFor, now);
    sum.teamTotals = (includeOwnRow ? m_zoneTotals : m_otherTotals).totals();
    truncateUpdate(sum.suspects);
    return sum;
}

// Returns the fresh aggregate with the most nodes, as a relay node that was cut off or has just started may have an incomplete one.
const FleetRelay::ReceivedAggregate* FleetRelay::mostCompleteOf(const std::map<std::string, ReceivedAggregate>& aggregatesByRelay, SteadyTime now) const
{
    const ReceivedAggregate* best = nullptr;
    for (const auto& [relay, received] : aggregatesByRelay) {
        bool fresh = now - received.receivedAt <= m_options.freshFor;
        if (fresh && (!best || received.sum.nodes > best->sum.nodes))
            best = &received;
    }
    return best;
}

GroupAggregate FleetRelay::fleetAggregate(SteadyTime now, bool includeOwnRow)
{
    auto sum = zoneAggregate(now, includeOwnRow);
    for (auto& [name, zone] : m_remoteZones) {
        std::uint32_t silent = 0;
        for (const auto& [relay, received] : zone.aggregatesByRelay)
            silent = std::max(silent, received.sum.nodes);
        std::erase_if(zone.aggregatesByRelay, [&](const auto& it) { return now - it.second.receivedAt > m_options.silentFor; });
        if (const auto* best = mostCompleteOf(zone.aggregatesByRelay, now))
            addGroup(sum, best->sum, m_options.zone);
        else if (!zone.aggregatesByRelay.empty())
            sum.silentNodes += silent;
        for (const auto& [team, total] : zone.teamTotals.totals())
            sum.teamTotals[team] += total;
    }
    keepDistinct(sum.leavingEndpoints, m_options.leavingMarksPerAggregate);
    truncateUpdate(sum.suspects);
    return sum;
}

void FleetRelay::addContacts(GroupAggregate& sum, SteadyTime now)
{
    sum.contacts = m_ownZoneRelays;
    auto rows = m_table.alive(now);
    std::shuffle(rows.begin(), rows.end(), m_random);
    for (const auto* it : rows) {
        if (sum.contacts.size() >= m_options.choice.relays + m_options.contactsPerAggregate)
            break;
        sum.contacts.push_back(it->contact());
    }
    // Relay nodes of the other zones, for a node that becomes a relay node. Two groups of a zone's nodes that do not know each other choose
    // different relay nodes. All relay nodes that send aggregates are included, so that the groups learn of each other through other zones.
    for (const auto& [name, zone] : m_remoteZones) {
        for (const auto& [relay, received] : zone.aggregatesByRelay) {
            if (now - received.receivedAt <= m_options.freshFor)
                sum.contacts.push_back(received.sum.relay);
        }
    }
}

void FleetRelay::setCommonFields(GroupAggregate& sum, SteadyTime now)
{
    sum.sequence = ++m_sequence;
    sum.fleetTimeMilliseconds = static_cast<std::uint64_t>(steadyMilliseconds(now) + clockDifference(m_ownClockDifference, now));
    addContacts(sum, now);
}

FleetRelay::AddressedAggregate FleetRelay::outgoingZoneAggregate(SteadyTime now)
{
    AddressedAggregate outgoing { .sum = zoneAggregate(now, true) };
    outgoing.sum.counted.clear();
    setCommonFields(outgoing.sum, now);
    keepDistinct(outgoing.sum.leavingEndpoints, m_options.leavingMarksPerAggregate);
    keepHeaviest(outgoing.sum.loads, m_options.loadsPerAggregate);
    outgoing.receivers = otherZonesReceivers(now);
    return outgoing;
}

std::vector<Address> FleetRelay::otherZonesReceivers(SteadyTime now)
{
    std::vector<Address> all;
    for (const auto& [name, contacts] : m_table.contactsByZone()) {
        if (name == m_options.zone)
            continue;
        auto& zone = m_remoteZones[name];
        std::vector<Address> receivers;
        for (const auto& it : zone.choice.choose(contacts, {}, now))
            receivers.push_back(it.gossipAddress);
        // Also send to relay nodes that send to this one, as they expect its aggregates, even if this node did not choose them.
        for (const auto& [relay, received] : zone.aggregatesByRelay) {
            if (now - received.receivedAt <= m_options.freshFor)
                receivers.push_back(received.sum.relay.gossipAddress);
        }
        std::sort(receivers.begin(), receivers.end());
        receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
        all.insert(all.end(), receivers.begin(), receivers.end());
    }
    return all;
}

void FleetRelay::addMembers(std::vector<Address>& receivers, SteadyTime now) const
{
    for (const auto* it : freshRows(now)) {
        if (m_members.contains(it->node))
            receivers.push_back(it->gossipAddress);
    }
}

std::vector<Address> FleetRelay::urgentReceivers(SteadyTime now)
{
    auto receivers = otherZonesReceivers(now);
    addMembers(receivers, now);
    return receivers;
}

std::vector<Address> FleetRelay::otherRelays(SteadyTime now)
{
    auto relays = otherZonesReceivers(now);
    auto ownZone = rowReceivers();
    relays.insert(relays.end(), ownZone.begin(), ownZone.end());
    return relays;
}

std::vector<Address> FleetRelay::members(SteadyTime now) const
{
    std::vector<Address> receivers;
    addMembers(receivers, now);
    return receivers;
}

FleetRelay::AddressedAggregate FleetRelay::outgoingFleetAggregate(SteadyTime now)
{
    AddressedAggregate outgoing { .sum = fleetAggregate(now, true) };
    // Nodes of a zone fetch documents from its relay nodes, which fetch them first. Otherwise all nodes of the fleet would fetch them from
    // the one node that had them first.
    outgoing.sum.endpoints = { .version = m_ownRow.endpointsRevision, .address = m_ownRow.controlAddress, .zone = m_options.zone };
    outgoing.sum.configuration = { .version = m_ownRow.configurationVersion, .address = m_ownRow.controlAddress, .zone = m_options.zone };
    keepHeaviest(outgoing.sum.loads, m_options.loadsPerAggregate);
    setCommonFields(outgoing.sum, now);
    addMembers(outgoing.receivers, now);
    addUnheardContact(outgoing.receivers);
    return outgoing;
}

// A node that was the first to start may know no other node, and no other may have chosen it as relay node: without this it would never hear
// of the others.
void FleetRelay::addUnheardContact(std::vector<Address>& receivers)
{
    auto contacts = m_table.contactsIn(m_options.zone);
    std::erase_if(contacts, [&](const auto& it) { return m_table.hasReceivedRow(it.node, it.lifetime); });
    if (contacts.empty())
        return;
    auto n = std::uniform_int_distribution<std::size_t>(0, contacts.size() - 1)(m_random);
    receivers.push_back(contacts[n].gossipAddress);
}

std::optional<FleetRelay::Others> FleetRelay::others(SteadyTime now)
{
    std::optional<GroupAggregate> sum;
    if (isRelay(now)) {
        auto own = fleetAggregate(now, false);
        if (own.nodes > 0) {
            m_fleetTotals.update(m_options.node, m_ownRow.lifetime, false, own.teamTotals, now);
            m_totalsReceivedAt = std::max(m_totalsReceivedAt, m_reportReceivedAt);
            sum = std::move(own);
        }
    }
    if (const auto* best = mostCompleteOf(m_fleetAggregates, now)) {
        auto received = withoutOwnRow(best->sum);
        if (!sum || received.nodes > sum->nodes)
            sum = std::move(received);
    }
    if (!sum)
        return std::nullopt;
    for (const auto& [relay, received] : m_fleetAggregates) {
        if (now - received.receivedAt > m_options.freshFor)
            continue;
        replaceIfNewer(sum->endpoints, received.sum.endpoints, m_options.zone);
        replaceIfNewer(sum->configuration, received.sum.configuration, m_options.zone);
    }
    // A node that has just become a relay node lacks the zones from which it has received nothing yet: count their nodes as silent.
    auto recentMaximum = m_recentNodes.take(sum->nodes, now, m_options.silentFor);
    sum->silentNodes = std::max(sum->silentNodes, recentMaximum - sum->nodes);
    sum->teamTotals = m_fleetTotals.totals();
    return Others { .sum = std::move(*sum), .receivedAt = m_totalsReceivedAt };
}

std::int64_t FleetRelay::clockDifference(std::int64_t own, SteadyTime now) const
{
    auto differences = m_table.clockDifferences(now);
    differences.push_back(own);
    auto add = [&](const auto& aggregatesByRelay) {
        for (const auto& [relay, received] : aggregatesByRelay) {
            if (now - received.receivedAt <= m_options.freshFor)
                differences.push_back(received.clockDifference);
        }
    };
    add(m_fleetAggregates);
    for (const auto& [name, zone] : m_remoteZones)
        add(zone.aggregatesByRelay);
    return medianOf(std::move(differences));
}

} // namespace Onyxnotch
