// What every daemon has in common: membership, the replica of the shared state, the watchers of the platform, the peer port.
#pragma once

#include "core/metrics.h"
#include "core/net/peer_connection.h"
#include "core/timer_service.h"
#include "modules/replica/state_watcher.h"
#include "servers/membership/membership_server.h"
#include <functional>
#include <memory>

namespace Onyxnotch {

struct PlatformAddresses {
    Address objects {};
    Address cloud {};
    Address instanceList {};
};

struct NodeOptions {
    std::string instance {};
    std::string zone {};
    std::string region {};
    MemberRole role { MemberRole::Gateway };
    std::string host { "127.0.0.1" }; // Address that the process listens on.
    std::string advertisedHost {}; // Address that others use; empty for `host`.
    std::uint16_t peerPort { 0 };
    std::uint16_t gossipPort { 0 };
    std::uint16_t advertisedPeerPort { 0 }; // 0 for the bound ones.
    std::uint16_t advertisedGossipPort { 0 };
    std::vector<Address> seeds {};
    PlatformAddresses platform {};
    MembershipOptions membership {};
    StateWatcherOptions watcher {};
    unsigned maximumPeerConnections { 1024 };
};

class Node {
public:
    using PeerHandler = std::function<std::optional<Frame>(const Frame&)>;

    explicit Node(const NodeOptions&);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Binds, joins the other nodes and starts the watchers. `httpPort` goes into the node's description.
    Status start(std::uint16_t httpPort, PeerHandler);
    void stop();

    const Member& identity() const { return m_identity; }
    Address peerAddress() const { return m_peers.address(); }
    TimerService& timers() { return m_timers; }
    Metrics& metrics() { return m_metrics; }
    StateReplica& replica() { return m_replica; }
    MembershipServer& membership() { return m_membership; }
    const ObjectClient& objects() const { return m_objects; }
    const CloudClient& cloud() const { return m_cloud; }
    const StateWatcher& watcher() const { return m_watcher; }

private:
    Frame handlePeerFrame(const Frame&);

    NodeOptions m_options;
    Member m_identity {};
    Metrics m_metrics;
    TimerService m_timers;
    StateReplica m_replica;
    ObjectClient m_objects;
    CloudClient m_cloud;
    MembershipServer m_membership;
    StateWatcher m_watcher;
    PeerHandler m_handler;
    PeerServer m_peers;
};

} // namespace Onyxnotch
