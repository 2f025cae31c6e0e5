// One node's copy of what all nodes share: the configuration and the endpoints. It only moves forward.
// Readers take an unchanging snapshot without locks.
#pragma once

#include "modules/declaration/configuration.h"
#include "modules/replica/endpoint_catalog.h"
#include "servers/membership/membership_server.h"
#include <deque>
#include <memory>
#include <mutex>

namespace Onyxnotch {

struct SharedState {
    Configuration configuration;
    std::map<std::string, ZoneEndpoints> zones {};

    bool operator==(const SharedState&) const = default;
};

class StateReplica {
public:
    StateReplica();

    std::shared_ptr<const SharedState> state() const;

    // Each returns whether the state moved forward. Older and equal versions, and changes that leave a gap, are not taken.
    bool applyConfiguration(const Configuration&);
    bool applyChange(const ConfigurationChange&);
    bool applyZone(const ZoneEndpoints&);

    // For membership: what this node has, what another lacks, and taking what came.
    std::vector<DocumentVersion> versions() const;
    std::vector<DocumentUpdate> updatesSince(const std::vector<DocumentVersion>& theirs) const;
    bool applyUpdate(const DocumentUpdate&);
    DocumentHooks hooks();

    // Called after each step forward, outside of locks.
    void subscribe(std::function<void(const SharedState&)>);

private:
    static constexpr std::size_t maximumRecentChanges = 512;

    bool takeChanges(const std::string& payload);
    DocumentUpdate configurationUpdate(std::uint64_t fromVersion, const Configuration& current) const;
    void publishLocked(SharedState);
    void notify();

    mutable std::mutex m_mutex;
    std::shared_ptr<const SharedState> m_state {};
    std::deque<ConfigurationChange> m_recentChanges {}; // Consecutive, the last one made the current version.
    std::vector<std::function<void(const SharedState&)>> m_subscribers {};
};

} // namespace Onyxnotch
