// Components that gateway and controller processes share: membership, the replica of the cluster state, the watcher of the platform's
// services, and the server for messages from peers. Owns their lifetimes and threads.
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
    std::string host { "127.0.0.1" }; // Host address that the process listens on.
    std::string advertisedHost {}; // Host address that other nodes connect to; if empty, `host`.
    std::uint16_t peerPort { 0 }; // Port to listen on for peer messages; 0: chosen by the system.
    std::uint16_t gossipPort { 0 }; // Port to listen on for membership gossip; 0: chosen by the system.
    std::uint16_t advertisedPeerPort { 0 }; // Port that other nodes connect to for peer messages; 0: the bound port.
    std::uint16_t advertisedGossipPort { 0 }; // Port that other nodes send gossip to; 0: the bound port.
    std::vector<Address> seeds {}; // Peer addresses (host and peer port) of nodes through which this node joins the cluster.
    PlatformAddresses platform {};
    MembershipOptions membership {};
    StateWatcherOptions watcher {};
    unsigned maximumPeerConnections { 1024 };
};

class Node {
public:
    // Handles a peer message that isn't about membership; returns nothing for unknown message types.
    using PeerHandler = std::function<std::optional<Frame>(const Frame&)>;

    explicit Node(const NodeOptions&);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // Binds the ports, joins the cluster and starts watching the platform. `httpPort` is the HTTP port to advertise to other nodes.
    // Fails if a port can't be bound; succeeds even if no seed answers.
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
