#include "modules/peers/fleet_relay.h"

#include <algorithm>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr std::size_t keptOwnRows = 16; // Four seconds of them, 1.6 s after the start: an older one is in no sum that counts.

    std::int64_t steadyMilliseconds(SteadyTime now) { return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count(); }

    // Of lives of endpoints; the first ones, each row's newest, stay.
    void keepDifferent(std::vector<EndpointLife>& lives, std::size_t most)
    {
        std::set<EndpointLife> seen;
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

bool FleetRelay::isNeeded(unsigned listed) const
{
    auto known = std::max<std::size_t>(listed, m_table.contacts().size() + 1);
    for (const auto& [relay, heard] : m_fleetSums)
        known = std::max<std::size_t>(known, heard.sum.nodes);
    return known > m_options.everyNodeUpTo;
}

void FleetRelay::setOwnRow(const PeerRow& row, SteadyTime now)
{
    m_ownRow = row;
    m_ownClockDifference = static_cast<std::int64_t>(row.trueMilliseconds) - steadyMilliseconds(now);
    m_self = row.contact();
    auto contacts = m_table.contactsIn(m_options.zone);
    contacts.push_back(m_self);
    m_chosen = m_choice.choose(contacts, m_options.node, now);
    m_zoneTotals.hear(row.node, row.lifetime, Milliseconds(0), row.teamTotals, now);
    m_ownRows.push_back({ .sequence = row.sequence, .teamTotals = row.teamTotals, .loads = row.loads, .trials = row.versions.trials });
    if (m_ownRows.size() > keptOwnRows)
        m_ownRows.pop_front();
}

void FleetRelay::onRow(const PeerRow& row, SteadyTime now)
{
    if (row.zone != m_options.zone)
        return;
    m_members[row.node] = now;
    auto age = Milliseconds(row.ageMilliseconds);
    m_zoneTotals.hear(row.node, row.lifetime, age, row.teamTotals, now);
    m_otherTotals.hear(row.node, row.lifetime, age, row.teamTotals, now);
}

// False for a sum that is no newer than the one known of that relay.
bool FleetRelay::hear(std::map<std::string, HeardSum>& tellers, const GroupSum& sum, SteadyTime now)
{
    auto [it, added] = tellers.try_emplace(sum.relay.node);
    auto& known = it->second;
    bool older = !added && (sum.relay.lifetime < known.sum.relay.lifetime || (sum.relay.lifetime == known.sum.relay.lifetime && sum.sequence <= known.sum.sequence));
    if (older)
        return false;
    known.sum = sum;
    known.heardAt = now;
    known.clockDifference = static_cast<std::int64_t>(sum.trueMilliseconds) - steadyMilliseconds(now);
    learnContacts(sum, now);
    return true;
}

void FleetRelay::learnContacts(const GroupSum& sum, SteadyTime now)
{
    m_table.refreshContact(sum.relay, now);
    for (const auto& it : sum.contacts)
        m_table.refreshContact(it, now);
}

void FleetRelay::onZoneSum(const GroupSum& sum, SteadyTime now)
{
    if (sum.relay.zone.empty() || sum.relay.zone == m_options.zone)
        return;
    auto& zone = m_zones[sum.relay.zone];
    if (!hear(zone.tellers, sum, now))
        return;
    zone.teamTotals.hear(sum.relay.node, sum.relay.lifetime, false, sum.teamTotals);
    zone.choice.onAnswer(sum.relay.node, now);
}

const FleetRelay::OwnRow* FleetRelay::ownRowOf(const GroupSum& sum) const
{
    auto counted = sum.counted.find(shortNameOf(m_options.node));
    if (counted == sum.counted.end())
        return nullptr;
    auto it = std::find_if(m_ownRows.begin(), m_ownRows.end(), [&](const auto& row) { return row.sequence == counted->second; });
    return it == m_ownRows.end() ? nullptr : &*it;
}

void FleetRelay::onFleetSum(const GroupSum& sum, SteadyTime now)
{
    if (sum.relay.zone != m_options.zone || sum.relay.node == m_options.node)
        return;
    if (!hear(m_fleetSums, sum, now))
        return;
    m_choice.onAnswer(sum.relay.node, now);
    auto& known = m_fleetSums[sum.relay.node];
    bool counts = ownRowOf(sum) != nullptr;
    // From here on its totals hold this node's too, or no more: they cannot be compared with those before.
    bool alignAnew = counts != known.countedThisNode;
    known.countedThisNode = counts;
    m_fleetTotals.hear(sum.relay.node, sum.relay.lifetime, alignAnew, withoutOwn(sum).teamTotals);
    m_totalsHeardAt = now;
}

GroupSum FleetRelay::withoutOwn(GroupSum sum) const
{
    const auto* own = ownRowOf(sum);
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
    std::erase_if(sum.formerHolders, [&](const auto& it) { return it.node == m_options.node; });
    std::erase_if(sum.watchers, [&](const auto& it) { return it.node == m_options.node; });
    // The candidate after this one is not told; that this one comes first is all that matters.
    if (sum.firstCandidate == m_options.node)
        sum.firstCandidate.clear();
    return sum;
}

std::vector<Address> FleetRelay::rowReceivers() const
{
    std::vector<Address> addresses;
    for (const auto& it : m_chosen) {
        if (it.node != m_options.node)
            addresses.push_back(it.gossipAddress);
    }
    return addresses;
}

bool FleetRelay::isRelay(SteadyTime now)
{
    std::erase_if(m_members, [&](const auto& it) { return now - it.second > m_options.freshFor; });
    bool chosen = std::any_of(m_chosen.begin(), m_chosen.end(), [&](const auto& it) { return it.node == m_options.node; });
    return chosen || !m_members.empty();
}

std::vector<const PeerRow*> FleetRelay::freshRows(SteadyTime now) const
{
    auto rows = m_table.alive(now);
    std::erase_if(rows, [&](const auto* it) { return it->zone != m_options.zone; });
    return rows;
}

GroupSum FleetRelay::zoneSum(SteadyTime now, bool withOwn)
{
    GroupSum sum { .relay = m_self };
    auto rows = freshRows(now);
    if (withOwn)
        rows.push_back(&m_ownRow);
    for (const auto* row : rows) {
        addRow(sum, *row, m_options.zone);
        sum.counted[shortNameOf(row->node)] = row->sequence;
        if (row->watchesStore && !row->leaving)
            sum.watchers.push_back({ .zone = row->zone, .node = row->node });
    }
    std::sort(sum.watchers.begin(), sum.watchers.end());
    if (sum.watchers.size() > m_options.watchersTold)
        sum.watchers.resize(m_options.watchersTold);
    sum.silentNodes = m_table.silentIn(m_options.zone, m_options.silentFor, now);
    sum.teamTotals = (withOwn ? m_zoneTotals : m_otherTotals).totals();
    limitNews(sum.suspects);
    return sum;
}

// One that was cut off, or whose relays were lost, may be on its way with the same nodes as before.
const FleetRelay::HeardSum* FleetRelay::bestOf(const std::map<std::string, HeardSum>& tellers, SteadyTime now) const
{
    const HeardSum* best = nullptr;
    for (const auto& [relay, heard] : tellers) {
        bool fresh = now - heard.heardAt <= m_options.freshFor;
        if (fresh && (!best || heard.sum.nodes > best->sum.nodes))
            best = &heard;
    }
    return best;
}

GroupSum FleetRelay::wholeSum(SteadyTime now, bool withOwn)
{
    auto sum = zoneSum(now, withOwn);
    for (auto& [name, zone] : m_zones) {
        std::uint32_t silent = 0;
        for (const auto& [relay, heard] : zone.tellers)
            silent = std::max(silent, heard.sum.nodes);
        std::erase_if(zone.tellers, [&](const auto& it) { return now - it.second.heardAt > m_options.silentFor; });
        if (const auto* best = bestOf(zone.tellers, now))
            addGroup(sum, best->sum, m_options.zone);
        else if (!zone.tellers.empty())
            sum.silentNodes += silent;
        for (const auto& [team, total] : zone.teamTotals.totals())
            sum.teamTotals[team] += total;
    }
    keepDifferent(sum.leavingEndpoints, m_options.leavingTold);
    limitNews(sum.suspects);
    return sum;
}

void FleetRelay::addContacts(GroupSum& sum, SteadyTime now)
{
    sum.contacts = m_chosen;
    auto rows = m_table.alive(now);
    std::shuffle(rows.begin(), rows.end(), m_random);
    for (const auto* it : rows) {
        if (sum.contacts.size() >= m_options.choice.relays + m_options.contactsPerSum)
            break;
        sum.contacts.push_back(it->contact());
    }
    // A node that becomes a relay has to know some of the other zones.
    for (const auto& [name, zone] : m_zones) {
        if (const auto* best = bestOf(zone.tellers, now))
            sum.contacts.push_back(best->sum.relay);
    }
}

void FleetRelay::finish(GroupSum& sum, SteadyTime now)
{
    sum.sequence = ++m_sequence;
    sum.trueMilliseconds = static_cast<std::uint64_t>(steadyMilliseconds(now) + clockDifference(m_ownClockDifference, now));
    addContacts(sum, now);
}

FleetRelay::Telling FleetRelay::zoneTelling(SteadyTime now)
{
    Telling telling { .sum = zoneSum(now, true) };
    telling.sum.counted.clear();
    finish(telling.sum, now);
    keepDifferent(telling.sum.leavingEndpoints, m_options.leavingTold);
    keepHeaviest(telling.sum.loads, m_options.loadsTold);
    telling.receivers = otherZonesReceivers(now);
    return telling;
}

std::vector<Address> FleetRelay::otherZonesReceivers(SteadyTime now)
{
    std::vector<Address> all;
    for (const auto& [name, contacts] : m_table.contactsByZone()) {
        if (name == m_options.zone)
            continue;
        auto& zone = m_zones[name];
        std::vector<Address> receivers;
        for (const auto& it : zone.choice.choose(contacts, {}, now))
            receivers.push_back(it.gossipAddress);
        // Those that take this node for a relay want its answer, whatever it takes them for.
        for (const auto& [relay, heard] : zone.tellers) {
            if (now - heard.heardAt <= m_options.freshFor)
                receivers.push_back(heard.sum.relay.gossipAddress);
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

FleetRelay::Telling FleetRelay::fleetTelling(SteadyTime now)
{
    Telling telling { .sum = wholeSum(now, true) };
    // The nodes of a zone fetch documents from its relays, which fetch them first: else all nodes of a fleet ask the one that knew first.
    telling.sum.endpoints = { .version = m_ownRow.endpointsRevision, .address = m_ownRow.controlAddress, .zone = m_options.zone };
    telling.sum.configuration = { .version = m_ownRow.configurationVersion, .address = m_ownRow.controlAddress, .zone = m_options.zone };
    keepHeaviest(telling.sum.loads, m_options.loadsTold);
    finish(telling.sum, now);
    addMembers(telling.receivers, now);
    return telling;
}

std::optional<FleetRelay::Others> FleetRelay::others(SteadyTime now)
{
    std::optional<GroupSum> sum;
    if (isRelay(now)) {
        auto own = wholeSum(now, false);
        if (own.nodes > 0) {
            m_fleetTotals.hear(m_options.node, m_ownRow.lifetime, false, own.teamTotals);
            m_totalsHeardAt = now;
            sum = std::move(own);
        }
    }
    if (const auto* best = bestOf(m_fleetSums, now)) {
        auto heard = withoutOwn(best->sum);
        if (!sum || heard.nodes > sum->nodes)
            sum = std::move(heard);
    }
    if (!sum)
        return std::nullopt;
    for (const auto& [relay, heard] : m_fleetSums) {
        if (now - heard.heardAt > m_options.freshFor)
            continue;
        takeNewer(sum->endpoints, heard.sum.endpoints, m_options.zone);
        takeNewer(sum->configuration, heard.sum.configuration, m_options.zone);
    }
    // A node that has just become a relay does not know the zones that it has not heard yet.
    auto most = m_recentNodes.take(sum->nodes, now, m_options.silentFor);
    sum->silentNodes = std::max(sum->silentNodes, most - sum->nodes);
    sum->teamTotals = m_fleetTotals.totals();
    return Others { .sum = std::move(*sum), .heardAt = m_totalsHeardAt };
}

std::int64_t FleetRelay::clockDifference(std::int64_t own, SteadyTime now) const
{
    auto differences = m_table.clockDifferences(now);
    differences.push_back(own);
    auto add = [&](const auto& tellers) {
        for (const auto& [relay, heard] : tellers) {
            if (now - heard.heardAt <= m_options.freshFor)
                differences.push_back(heard.clockDifference);
        }
    };
    add(m_fleetSums);
    for (const auto& [name, zone] : m_zones)
        add(zone.tellers);
    return medianOf(std::move(differences));
}

} // namespace Onyxnotch
