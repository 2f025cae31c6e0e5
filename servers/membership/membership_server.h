// The nodes' knowledge of each other: probes over UDP, news spread from node to node, documents fetched over TCP.
// It needs no platform service: an outage of the object API changes nothing here.
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

// The state that membership spreads but does not understand.
struct DocumentHooks {
    std::function<std::vector<DocumentVersion>()> versions {};
    // What a node with `theirs` lacks.
    std::function<std::vector<DocumentUpdate>(const std::vector<DocumentVersion>& theirs)> updatesSince {};
    // Returns whether the update was newer than what was there.
    std::function<bool(const DocumentUpdate&)> apply {};
};

struct MembershipOptions {
    Member self {};
    std::string listenHost {}; // Where the datagram socket is bound; others are told what `self` says.
    std::uint16_t listenPort { 0 };
    std::vector<Address> seeds {}; // Peer addresses of nodes to ask at the start.
    Milliseconds probePeriod { 1000 };
    Milliseconds probeTimeout { 400 }; // Then indirect probes are sent; at the end of the period the member is suspect.
    unsigned indirectProbes { 2 };
    unsigned pushFanOut { 3 }; // Nodes that urgent news goes to at once.
    // With the probe period this bounds what a node sends, however much news there is: about 0.9 KB a second.
    unsigned maximumMembersPerMessage { 3 };
    unsigned maximumMarksPerMessage { 24 };
    std::size_t maximumMarks { 65536 };
    MemberTableOptions table {};
};

// An unchanging picture of the members, the marks and the successions, shared by readers without locks.
struct MemberView {
    Member self {};
    std::vector<Member> members {}; // Own one included; dead ones too.
    std::map<std::string, LeavingMark> marks {}; // By endpoint.
    std::map<std::pair<std::string, std::uint64_t>, Succession> successions {}; // By giver and its incarnation.

    // Alive and not leaving, of that role, the own node included.
    std::vector<Member> usable(MemberRole) const;
    std::optional<Member> find(const std::string& node) const;
    // Follows successions from a node incarnation to the node that answers for its requests now. Empty where the chain ends at a
    // node that is dead, restarted or not known.
    std::optional<Member> answeringNode(const std::string& node, std::uint64_t incarnation) const;
};

class MembershipServer {
public:
    MembershipServer(const MembershipOptions&, DocumentHooks, TimerService&, Metrics&);
    ~MembershipServer();
    MembershipServer(const MembershipServer&) = delete;
    MembershipServer& operator=(const MembershipServer&) = delete;

    // Binds the datagram socket; the port goes into the own description.
    Status start();
    // Where the datagram socket is bound.
    Address listenAddress() const;
    void setPorts(std::uint16_t httpPort, std::uint16_t peerPort);
    // Asks the seeds and every member they name, until one answers or all have been asked. Returns how many answered.
    unsigned join();
    void stop();

    std::shared_ptr<const MemberView> view() const;
    // News of this node; sent at once to a few nodes, and on from there.
    void announceLeaving();
    // True where the mark says something new here.
    bool announceMark(const LeavingMark&);
    void announceSuccession(const Succession&);
    // The documents have changed here: tells a few nodes at once.
    void announceDocuments();

    // Serves the peer messages of membership. Empty for messages of other kinds.
    std::optional<Frame> handlePeerFrame(const Frame&);
    // Called after marks or members have changed, on a thread of the timer service or of the sockets.
    void subscribe(std::function<void(const MemberView&)>);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Onyxnotch
