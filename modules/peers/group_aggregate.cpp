#include "modules/peers/group_aggregate.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Onyxnotch {

namespace {

    std::uint16_t addSaturating(std::uint16_t left, double right)
    {
        auto sum = std::clamp(static_cast<double>(left) + right, 0.0, static_cast<double>(std::numeric_limits<std::uint16_t>::max()));
        return static_cast<std::uint16_t>(std::lround(sum));
    }

} // namespace

bool GroupAggregate::isSound() const
{
    constexpr std::uint32_t maximumNodeCount = 100000; // Far more than any fleet has, so that divisions by it give usable numbers.
    constexpr double maximumTokens = 1e15; // Of one team, during a relay node's incarnation.
    constexpr double maximumDemand = 1e9;
    if (relay.node.empty() || nodes == 0 || nodes > maximumNodeCount || silentNodes > maximumNodeCount)
        return false;
    bool areTotalsSound = std::all_of(teamTotals.begin(), teamTotals.end(), [&](const auto& it) { return it.second >= 0 && it.second <= maximumTokens; });
    bool isDemandSound = std::all_of(demand.begin(), demand.end(), [&](const auto& it) {
        const auto& serviceDemand = it.second;
        auto isInRange = [&](double number) { return number >= 0 && number <= maximumDemand; };
        return isInRange(serviceDemand.requestsPerSecond) && isInRange(serviceDemand.waiting) && isInRange(serviceDemand.running) && isInRange(serviceDemand.busyEngines) && isInRange(serviceDemand.refusedPerSecond);
    });
    return areTotalsSound && isDemandSound;
}

void addLoad(std::map<ShortName, AggregatedLoad>& loads, ShortName endpoint, double inFlight, double waitingTokens)
{
    auto& load = loads[endpoint];
    load.inFlight = addSaturating(load.inFlight, inFlight);
    load.waitingUnits = addSaturating(load.waitingUnits, waitingTokens / AggregatedLoad::tokensPerUnit);
}

void keepHeaviest(std::map<ShortName, AggregatedLoad>& loads, std::size_t maximum)
{
    if (loads.size() <= maximum)
        return;
    std::vector<std::pair<ShortName, AggregatedLoad>> all(loads.begin(), loads.end());
    auto isHeavier = [](const auto& left, const auto& right) {
        return std::pair(left.second.waitingUnits, left.second.inFlight) > std::pair(right.second.waitingUnits, right.second.inFlight);
    };
    std::nth_element(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(maximum), all.end(), isHeavier);
    all.resize(maximum);
    loads = { all.begin(), all.end() };
}

void replaceIfNewer(DocumentSource& best, const DocumentSource& other, const std::string& ownZone)
{
    bool isCloser = other.version == best.version && other.version > 0 && other.zone == ownZone && best.zone != ownZone;
    if (other.version > best.version || isCloser)
        best = other;
}

void addRow(GroupAggregate& sum, const PeerRow& row, const std::string& ownZone)
{
    ++sum.nodes;
    for (const auto& it : row.loads)
        addLoad(sum.loads, shortNameOf(it.endpoint), it.inFlight, it.waitingTokens);
    for (const auto& [service, demand] : row.demand)
        sum.demand[service] += demand;
    mergeUpdate(sum.versions, row.versions);
    mergeUpdate(sum.suspects, row.suspects);
    sum.leavingEndpoints.insert(sum.leavingEndpoints.end(), row.leavingEndpoints.begin(), row.leavingEndpoints.end());
    if (row.holdsDuties)
        sum.dutyHolders.push_back(row.contact());
    if (row.leftDutiesFence > 0 && !row.holdsDuties)
        sum.formerDutyHolders.push_back({ .node = row.node, .lifetime = row.lifetime, .fence = row.leftDutiesFence });
    if (row.canTakeDuties() && (sum.firstCandidate.empty() || row.node < sum.firstCandidate))
        sum.firstCandidate = row.node;
    if (row.endpointsRevision > 0)
        replaceIfNewer(sum.endpoints, { .version = row.endpointsRevision, .address = row.controlAddress, .zone = row.zone }, ownZone);
    replaceIfNewer(sum.configuration, { .version = row.configurationVersion, .address = row.controlAddress, .zone = row.zone }, ownZone);
}

void addGroup(GroupAggregate& sum, const GroupAggregate& group, const std::string& ownZone)
{
    sum.nodes += group.nodes;
    sum.silentNodes += group.silentNodes;
    for (const auto& [endpoint, load] : group.loads)
        addLoad(sum.loads, endpoint, load.inFlight, load.waitingUnits * AggregatedLoad::tokensPerUnit);
    for (const auto& [service, demand] : group.demand)
        sum.demand[service] += demand;
    mergeUpdate(sum.versions, group.versions);
    mergeUpdate(sum.suspects, group.suspects);
    sum.leavingEndpoints.insert(sum.leavingEndpoints.end(), group.leavingEndpoints.begin(), group.leavingEndpoints.end());
    sum.dutyHolders.insert(sum.dutyHolders.end(), group.dutyHolders.begin(), group.dutyHolders.end());
    sum.formerDutyHolders.insert(sum.formerDutyHolders.end(), group.formerDutyHolders.begin(), group.formerDutyHolders.end());
    if (!group.firstCandidate.empty() && (sum.firstCandidate.empty() || group.firstCandidate < sum.firstCandidate))
        sum.firstCandidate = group.firstCandidate;
    sum.watchers.insert(sum.watchers.end(), group.watchers.begin(), group.watchers.end());
    replaceIfNewer(sum.endpoints, group.endpoints, ownZone);
    replaceIfNewer(sum.configuration, group.configuration, ownZone);
}

} // namespace Onyxnotch
