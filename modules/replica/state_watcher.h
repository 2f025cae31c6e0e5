// Watches the platform's services (object service, cloud notices, instance list), applies changes to the replica and announces them
// through the membership. Only `watchersPerZone` nodes of each zone watch, chosen by hash; the others receive updates from them. It is
// harmless if more nodes consider themselves watchers, as updates are idempotent.
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
    Milliseconds watchWait { 5000 }; // Longest time that a watch call waits for a change.
    Milliseconds instanceListPeriod { 2000 }; // Interval between two reads of the instance list.
    // Delay after a failed call; doubles with each further failure up to `maximumBackoff`, with jitter.
    Milliseconds initialBackoff { 200 };
    Milliseconds maximumBackoff { 10000 };
};

class StateWatcher {
public:
    StateWatcher(const StateWatcherOptions&, const ObjectClient&, const CloudClient&, StateReplica&, MembershipServer&, Metrics&);
    ~StateWatcher();
    StateWatcher(const StateWatcher&) = delete;
    StateWatcher& operator=(const StateWatcher&) = delete;

    void start();
    // Stops and joins the threads. Blocks until calls in progress have ended, up to `watchWait`.
    void stop();
    // Whether the object service answered the last configuration watch of this node; true if this node hasn't watched yet.
    bool isPlatformReachable() const { return m_isObjectServiceReachable; }

private:
    using Step = std::function<Status()>;

    bool isWatcher() const;
    // Repeats `step` until stop(), with backoff after failures. Pauses while this node isn't a watcher.
    void runWhileWatcher(const Step&);
    void pause(Milliseconds);
    Status watchConfiguration();
    Status watchEndpoints();
    Status watchNotices();
    Status readInstanceList();
    Milliseconds addJitter(Milliseconds) const;

    StateWatcherOptions m_options;
    const ObjectClient& m_objects;
    const CloudClient& m_cloud;
    StateReplica& m_replica;
    MembershipServer& m_membership;
    Metrics& m_metrics;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_isObjectServiceReachable { true };
    // Revision from which the next watch continues; empty if everything must be read first. 0 can't stand for that: it is the revision of
    // an empty store.
    std::optional<std::uint64_t> m_configurationRevision {};
    std::optional<std::uint64_t> m_endpointRevision {};
    std::uint64_t m_lastNoticeSequence { 0 };
    std::mutex m_pauseMutex;
    std::condition_variable m_stopCondition;
    std::vector<std::thread> m_threads {};
};

} // namespace Onyxnotch
