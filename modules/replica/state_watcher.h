// Reads what is new in the platform's services and puts it into the replica and the membership. Only the few nodes of a zone that
// rank first do so; the others get it from them. Two nodes that both think they rank first do no harm.
#pragma once

#include "modules/declaration/configuration_store.h"
#include "modules/replica/state_replica.h"
#include "servers/platform/cloud_client.h"
#include <atomic>
#include <condition_variable>
#include <thread>

namespace Onyxnotch {

struct StateWatcherOptions {
    unsigned watchersPerZone { 2 };
    Milliseconds watchWait { 5000 };
    Milliseconds listPeriod { 2000 }; // Between reads of the instance list.
    Milliseconds firstBackoff { 200 }; // After a failed call; doubled up to the last one, with jitter.
    Milliseconds lastBackoff { 10000 };
};

class StateWatcher {
public:
    StateWatcher(const StateWatcherOptions&, const ObjectClient&, const CloudClient&, StateReplica&, MembershipServer&, Metrics&);
    ~StateWatcher();
    StateWatcher(const StateWatcher&) = delete;
    StateWatcher& operator=(const StateWatcher&) = delete;

    void start();
    // Returns after the calls that are waiting have ended, watchWait at most.
    void stop();
    // Whether the object service answered the last call of this node; true for a node that does not watch.
    bool platformReachable() const { return m_reachable; }

private:
    using Step = std::function<Status()>;

    bool isWatcher() const;
    // Runs `step` again and again while this node is a watcher, with backoff after failures.
    void loop(const Step&);
    void pause(Milliseconds);
    Status watchConfiguration();
    Status watchEndpoints();
    Status watchNotices();
    Status readInstanceList();
    Milliseconds jittered(Milliseconds) const;

    StateWatcherOptions m_options;
    const ObjectClient& m_objects;
    const CloudClient& m_cloud;
    StateReplica& m_replica;
    MembershipServer& m_membership;
    Metrics& m_metrics;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_reachable { true };
    // Where the next watch goes on; empty: read everything first. An empty store has revision 0, so 0 cannot say that.
    std::optional<std::uint64_t> m_configurationRevision {};
    std::optional<std::uint64_t> m_endpointRevision {};
    std::uint64_t m_lastNotice { 0 };
    std::mutex m_pauseMutex;
    std::condition_variable m_pauseEnded;
    std::vector<std::thread> m_threads {};
};

} // namespace Onyxnotch
