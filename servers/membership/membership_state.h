// The state behind MembershipServer, shared by its source files only.
#pragma once

#include "servers/membership/membership_server.h"
#include "servers/membership/news_queue.h"
#include <mutex>
#include <random>

namespace Onyxnotch {

namespace detail {

    // By which nodes notice that they hold different documents.
    std::uint64_t digestOf(const std::vector<DocumentVersion>&);

} // namespace detail

struct MembershipServer::Implementation {
    // A probe that is under way.
    struct Probe {
        std::uint64_t sequence { 0 };
        std::string node;
        std::uint64_t incarnation { 0 };
        SteadyTime sentAt;
        bool indirectSent { false };
    };

    // A probe that this node makes for another one.
    struct Relay {
        std::uint64_t originSequence { 0 };
        Address origin;
        SteadyTime sentAt;
    };

    Implementation(const MembershipOptions&, DocumentHooks, TimerService&, Metrics&);

    // Every function below that ends in "Locked" needs the mutex.
    void publish();
    void notify();
    bool takeMemberLocked(const Member& member);
    bool takeMarkLocked(const LeavingMark& mark);
    bool takeSuccessionLocked(const Succession& succession);

    GossipMessage messageLocked(std::uint64_t sequence, bool acknowledgementWanted);
    // Tells the receiver that it is taken for suspect or dead, where it is.
    void addStandingLocked(GossipMessage& message, const std::string& receiver) const;
    void send(const Address& address, MessageType type, const GossipMessage& message);
    void receive(const Frame& frame);
    void takeMessage(const GossipMessage& message);
    void noteDigestLocked(const GossipMessage& message);
    void acknowledge(const GossipMessage& message);
    void takeAcknowledgement(const GossipMessage& message);
    void relayProbe(const IndirectProbeMessage& request);

    // Runs every tick; what has to happen depends on the probe that is under way.
    void onTick();
    bool expireLocked(SteadyTime now);
    bool missLocked(SteadyTime now);

    std::vector<Member> othersLocked(bool deadToo) const;
    std::optional<std::pair<Address, GossipMessage>> nextProbeLocked(SteadyTime now);

    // Dead members are still tried now and then, so that two halves of a cut network find each other again.
    bool worthProbing(const Member& member);
    std::vector<std::pair<Address, Frame>> indirectProbesLocked();
    std::vector<Member> sampleLocked(std::size_t count, const std::string& except);

    // Sends urgent news to a few nodes at once, which do the same: it is everywhere after about log(nodes) ticks.
    void pushNews();

    // Fetches what the node that last showed another digest has and this one lacks.
    void fetchDocuments();
    void applyDocuments(const std::vector<DocumentUpdate>& documents);
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
    NewsQueue<Member> memberNews;
    NewsQueue<LeavingMark> markNews;
    NewsQueue<Succession> successionNews;
    std::map<std::uint64_t, Relay> relays;
    std::optional<Probe> probe;
    std::optional<Address> documentSource;
    std::vector<std::string> round;
    std::uint64_t nextSequence { 1 };
    SteadyTime nextProbeAt;
    bool pushWanted { false };
    DatagramSocket socket;
    std::mt19937_64 random;
    std::shared_ptr<const MemberView> view;
    std::vector<std::function<void(const MemberView&)>> subscribers;
    TimerService::Subscription subscription;
};

} // namespace Onyxnotch
