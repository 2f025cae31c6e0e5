#include "modules/control/node_summary.h"

#include <tuple>

namespace Onyxnotch {

namespace {

    void setSources(NodeSummary& summary, const DocumentSource& endpoints, const DocumentSource& configuration)
    {
        summary.peerEndpointsRevision = endpoints.version;
        summary.peerEndpointsAddress = endpoints.address;
        summary.peerConfigurationVersion = configuration.version;
        summary.peerConfigurationAddress = configuration.address;
    }

} // namespace

NodeSummary summarizePeers(const std::vector<const PeerRow*>& alive, const SummaryOwner& owner)
{
    NodeSummary summary { .alivePeers = static_cast<unsigned>(alive.size()) };
    DocumentSource endpoints;
    DocumentSource configuration;
    for (const auto* row : alive) {
        summary.peerHoldsDuties = summary.peerHoldsDuties || row->holdsDuties;
        if (row->leftDutiesFence > 0 && !row->holdsDuties)
            summary.relinquishedDuties.emplace(row->node, RelinquishedDuties { .life = row->lifetime, .fence = row->leftDutiesFence });
        if (row->canTakeDuties() && (row->node < owner.node || !owner.watchesStore || owner.relinquishedDuties))
            summary.firstCandidate = false;
        summary.doPeersWatchStore = summary.doPeersWatchStore || row->watchesStore;
        if (row->watchesStore)
            replaceIfNewer(endpoints, { .version = row->endpointsRevision, .address = row->controlAddress, .zone = row->zone }, owner.zone);
        replaceIfNewer(configuration, { .version = row->configurationVersion, .address = row->controlAddress, .zone = row->zone }, owner.zone);
        for (const auto& [service, demand] : row->demand)
            summary.demand[service] += demand;
        mergeUpdate(summary.versions, row->versions);
    }
    setSources(summary, endpoints, configuration);
    return summary;
}

bool isNewsForControl(const NodeSummary& before, const NodeSummary& after)
{
    auto actedOn = [](const NodeSummary& it) { return std::tie(it.peerEndpointsRevision, it.peerConfigurationVersion, it.watchesStore, it.peerHoldsDuties, it.firstCandidate); };
    return actedOn(before) != actedOn(after);
}

NodeSummary summarizeGroup(const GroupAggregate& others, const SummaryOwner& owner)
{
    NodeSummary summary { .alivePeers = others.nodes, .peerHoldsDuties = !others.dutyHolders.empty(), .doPeersWatchStore = !others.watchers.empty(), .demand = others.demand, .versions = others.versions };
    for (const auto& it : others.formerDutyHolders)
        summary.relinquishedDuties.emplace(it.node, RelinquishedDuties { .life = it.lifetime, .fence = it.fence });
    bool isOtherFirst = !others.firstCandidate.empty() && (others.firstCandidate < owner.node || !owner.watchesStore || owner.relinquishedDuties);
    summary.firstCandidate = !isOtherFirst;
    setSources(summary, others.endpoints, others.configuration);
    return summary;
}

} // namespace Onyxnotch
