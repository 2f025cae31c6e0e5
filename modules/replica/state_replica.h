// This node's copy of the cluster state: the configuration and the endpoints of each zone. Versions never decrease. Thread-safe: updates
// are serialized by a mutex, readers get an immutable snapshot without locking it.
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

    // Apply a newer version; return whether the state changed. Older and equal versions are ignored, and so are configuration changes
    // that don't directly follow the current version.
    bool applyConfiguration(const Configuration&);
    bool applyChange(const ConfigurationChange&);
    bool applyZone(const ZoneEndpoints&);

    // Synchronization with peers through MembershipServer: the document versions of this node, the updates that a peer with the given
    // versions lacks, and applying an update received from a peer (returns whether the state changed).
    std::vector<DocumentVersion> versions() const;
    std::vector<DocumentUpdate> updatesSince(const std::vector<DocumentVersion>& peerVersions) const;
    bool applyUpdate(const DocumentUpdate&);
    DocumentHooks hooks();

    // Adds a function that is called after each change, without holding locks. Not thread-safe: call it before updates begin.
    void subscribe(std::function<void(const SharedState&)>);

private:
    static constexpr std::size_t maximumRecentChanges = 512;

    bool applyChanges(const std::string& payload);
    DocumentUpdate configurationUpdate(std::uint64_t fromVersion, const Configuration& current) const;
    void publishLocked(SharedState);
    void notify();

    mutable std::mutex m_mutex;
    std::shared_ptr<const SharedState> m_state {};
    std::deque<ConfigurationChange> m_recentChanges {}; // Consecutive changes; the last one led to the current version.
    std::vector<std::function<void(const SharedState&)>> m_subscribers {};
};

} // namespace Onyxnotch
