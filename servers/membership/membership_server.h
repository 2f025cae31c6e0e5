// Membership service of a node (gossip): detects failed nodes by probes over UDP, spreads updates from node to node, and fetches
// documents over TCP. It needs no platform service, so it keeps working during an outage of the object API.
#pragma once

#include "core/metrics.h"
#include "core/net/peer_connection.h"
#include "core/timer_service.h"
#include "servers/membership/leaving_marks.h"
#include "servers/membership/member_table.h"
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Onyxnotch {

// Access to the documents that membership replicates without interpreting them.
struct DocumentHooks {
    // The documents of this node and their versions.
    std::function<std::vector<DocumentVersion>()> versions {};
    // The updates that a node with the versions `theirs` lacks.
    std::function<std::vector<DocumentUpdate>(const std::vector<DocumentVersion>& theirs)> updatesSince {};
    // Applies an update. Returns whether it was newer than this node's document.
    std::function<bool(const DocumentUpdate&)> apply {};
};

struct MembershipOptions {
    Member self {};
    std::string listenHost {}; // Address to which the datagram socket is bound. Other nodes use the address in `self`.
    std::uint16_t listenPort { 0 };
    std::vector<Address> seeds {}; // Peer (TCP) addresses of the nodes to which join requests are sent first.
    Milliseconds probePeriod { 1000 };
    Milliseconds probeTimeout { 400 }; // Then indirect probes are sent. At the end of the probe period a silent member is suspect.
    unsigned indirectProbes { 2 }; // Other nodes that are requested to probe a silent member.
    unsigned pushFanOut { 3 }; // Nodes to which an urgent update is sent immediately.
    // With the probe period, these limits bound what a node sends to about 0.9 KB per second, however many updates are queued.
    unsigned maximumMembersPerMessage { 3 };
    unsigned maximumMarksPerMessage { 24 };
    std::size_t maximumMarks { 65536 };
    MemberTableOptions table {};
};

// Immutable snapshot of the members, leaving marks and successions, which readers share without locks.
struct MemberView {
    Member self {};
    std::vector<Member> members {}; // Including this node and dead members.
    std::map<std::string, LeavingMark> marks {}; // By endpoint.
    std::map<std::pair<std::string, std::uint64_t>, Succession> successions {}; // By the node that handed over and its incarnation.

    // Members of the role that are alive and not leaving, including this node.
    std::vector<Member> usable(MemberRole) const;
    std::optional<Member> find(const std::string& node) const;
    // Follows successions from a node incarnation to the node that is responsible for its requests now. Returns nothing if that node is
    // dead, restarted or unknown.
    std::optional<Member> responsibleNode(const std::string& node, std::uint64_t incarnation) const;
};

class MembershipServer {
public:
    MembershipServer(const MembershipOptions&, DocumentHooks, TimerService&, Metrics&);
    ~MembershipServer();
    MembershipServer(const MembershipServer&) = delete;
    MembershipServer& operator=(const MembershipServer&) = delete;

    // Binds the datagram socket. If `self` has no gossip port, the bound port is advertised.
    Status start();
    // Address to which the datagram socket is bound.
    Address listenAddress() const;
    // Sets the HTTP and peer ports that this node advertises.
    void setPorts(std::uint16_t httpPort, std::uint16_t peerPort);
    // Sends join requests to all seeds and to a few of the members then known, and starts the periodic probing.
    // Returns how many nodes answered.
    unsigned join();
    void stop();

    // The current snapshot. Thread-safe.
    std::shared_ptr<const MemberView> view() const;
    // Announces that this node is leaving. Like the other announcements, the update is sent to a few nodes first, which pass it on.
    void announceLeaving();
    // Announces a leaving endpoint. Returns whether the mark was new to this node.
    bool announceMark(const LeavingMark&);
    // Announces to which node this node handed its request ledger over.
    void announceSuccession(const Succession&);
    // Announces that the documents of this node changed: a few nodes get a message with the new digest and fetch the updates.
    void announceDocuments();

    // Handles join and document requests and returns the reply. Returns nothing for frames of other types.
    std::optional<Frame> handlePeerFrame(const Frame&);
    // Registers a callback for changes of members, marks or successions. It is called on a thread of the timer service or of the sockets.
    void subscribe(std::function<void(const MemberView&)>);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
