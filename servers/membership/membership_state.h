// Private implementation of MembershipServer, shared by its source files only.
#pragma once

#include "servers/membership/gossip_queue.h"
#include "servers/membership/membership_server.h"
#include <mutex>
#include <random>

namespace Onyxnotch {

namespace detail {

    // Hash of document names and versions. Nodes compare it to detect that their documents differ.
    std::uint64_t digestOf(const std::vector<DocumentVersion>&);

} // namespace detail

struct MembershipServer::Implementation {
    // The probe of this node that is in progress.
    struct Probe {
        std::uint64_t sequence { 0 };
        std::string node;
        std::uint64_t incarnation { 0 };
        SteadyTime sentAt;
        bool indirectSent { false };
    };

    // An indirect probe that this node sends for another node (`origin`).
    struct RelayedProbe {
        std::uint64_t originSequence { 0 };
        Address origin;
        SteadyTime sentAt;
    };

    Implementation(const MembershipOptions&, DocumentHooks, TimerService&, Metrics&);

    // Functions whose names end in "Locked" must be called with the mutex held.
    // Replaces the view that readers get. Called with the mutex held, except in the constructor.
    void publish();
    // Calls the subscribers with the current view.
    void notify();
    // Apply an update and queue it for other nodes. Return whether it was new.
    bool applyMemberLocked(const Member& member);
    bool applyMarkLocked(const LeavingMark& mark);
    bool applySuccessionLocked(const Succession& succession);

    // Builds a message with this node's description and the next queued updates.
    GossipMessage messageLocked(std::uint64_t sequence, bool acknowledgementWanted);
    // If this node considers the receiver suspect or dead, adds that state to the message, so that the receiver can refute it.
    void addReceiverStateLocked(GossipMessage& message, const std::string& receiver) const;
    void send(const Address& address, MessageType type, const GossipMessage& message);
    void receive(const Frame& frame);
    void processMessage(const GossipMessage& message);
    // Remembers the sender as a source of documents if its digest differs.
    void compareDigestLocked(const GossipMessage& message);
    void acknowledge(const GossipMessage& message);
    void processAcknowledgement(const GossipMessage& message);
    void relayProbe(const IndirectProbeMessage& request);

    // Called periodically: expires suspects, sends direct and indirect probes, pushes updates and fetches documents.
    void onTick();
    bool expireLocked(SteadyTime now);
    // Marks the probed member as suspect if its probe was not acknowledged. Returns whether its state changed.
    bool handleMissedProbeLocked(SteadyTime now);

    std::vector<Member> othersLocked(bool includeDead) const;
    std::optional<std::pair<Address, GossipMessage>> nextProbeLocked(SteadyTime now);

    // Alive and suspect members are always probed. Dead members are probed occasionally, so that the two sides of a network partition
    // find each other again.
    bool shouldProbe(const Member& member);
    std::vector<std::pair<Address, Frame>> indirectProbesLocked();
    // Returns up to `count` random members that are not dead, excluding this node and `excludedNode`.
    std::vector<Member> sampleLocked(std::size_t count, const std::string& excludedNode);

    // Sends urgent updates to a few random nodes, which do the same. So an update reaches all nodes after about log(number of nodes) ticks.
    void pushUpdates();

    // Fetches the document updates that this node lacks from the node whose digest differed last.
    void fetchDocuments();
    void applyDocuments(const std::vector<DocumentUpdate>& documents);
    // Sends a join request to the seed and applies its answer. Returns whether it answered.
    bool joinThrough(const Address& seed);

    Frame serveJoin(const JoinRequestMessage& request);

    MembershipOptions options;
    DocumentHooks hooks;
    TimerService& timers;
    Metrics& metrics;
    mutable std::mutex mutex;
    MemberTable table;
    LeavingMarks marks;
    std::map<std::pair<std::string, std::uint64_t>, Succession> successions;
    GossipQueue<Member> memberUpdates;
    GossipQueue<LeavingMark> markUpdates;
    GossipQueue<Succession> successionUpdates;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    std::optional<Probe> probe;
    std::optional<Address> documentSource;
    std::vector<std::string> probeRound;
    std::uint64_t nextSequence { 1 };
    SteadyTime nextProbeAt;
    bool pushPending { false };
    DatagramSocket socket;
    std::mt19937_64 random;
    std::shared_ptr<const MemberView> view;
    std::vector<std::function<void(const MemberView&)>> subscribers;
    TimerService::Subscription subscription;
};

} // namespace Onyxnotch
