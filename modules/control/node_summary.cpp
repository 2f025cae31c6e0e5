#include "modules/control/node_summary.h"

namespace Onyxnotch {

namespace {

    // The newest known source of a document; among equally new ones, one of the own zone.
    class BestSource {
    public:
        explicit BestSource(const std::string& ownZone)
            : m_ownZone(ownZone)
        {
        }

        void offer(std::uint64_t version, const PeerRow& row)
        {
            bool closer = version == m_version && version > 0 && row.zone == m_ownZone && m_zone != m_ownZone;
            if (version <= m_version && !closer)
                return;
            m_version = version;
            m_address = row.controlAddress;
            m_zone = row.zone;
        }

        std::uint64_t version() const { return m_version; }
        const Address& address() const { return m_address; }

    private:
        const std::string& m_ownZone;
        std::uint64_t m_version { 0 };
        Address m_address {};
        std::string m_zone {};
    };

    // One that the store turns away cannot take the lease, and one that has just lost it does not know so yet.
    bool isCandidate(const PeerRow& row) { return !row.leaving && row.hasDuties && row.watchesStore && row.leftDutiesFence == 0; }

} // namespace

NodeSummary summarizePeers(const std::vector<const PeerRow*>& alive, const SummaryOwner& owner)
{
    NodeSummary summary { .alivePeers = static_cast<unsigned>(alive.size()) };
    BestSource endpoints(owner.zone);
    BestSource configuration(owner.zone);
    for (const auto* row : alive) {
        summary.peerHoldsDuties = summary.peerHoldsDuties || row->holdsDuties;
        if (row->leftDutiesFence > 0 && !row->holdsDuties)
            summary.leftDuties.emplace(row->node, LeftDuties { .life = row->lifetime, .fence = row->leftDutiesFence });
        if (isCandidate(*row) && (row->node < owner.node || !owner.watchesStore || owner.leftDuties))
            summary.firstCandidate = false;
        if (row->watchesStore)
            endpoints.offer(row->endpointsRevision, *row);
        configuration.offer(row->configurationVersion, *row);
        for (const auto& [service, demand] : row->demand)
            summary.demand[service] += demand;
    }
    summary.peerEndpointsRevision = endpoints.version();
    summary.peerEndpointsAddress = endpoints.address();
    summary.peerConfigurationVersion = configuration.version();
    summary.peerConfigurationAddress = configuration.address();
    return summary;
}

} // namespace Onyxnotch
