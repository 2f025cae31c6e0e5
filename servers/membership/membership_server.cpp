#include "servers/membership/membership_server.h"

#include "core/digest.h"
#include "core/log.h"
#include "servers/membership/news_queue.h"
#include <algorithm>
#include <atomic>
#include <mutex>
#include <random>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds peerTimeout { 1000 };
    constexpr Milliseconds tick { 50 };

    std::string describe(const Member& member)
    {
        return member.node + "#" + std::to_string(member.incarnation);
    }

    std::uint64_t digestOf(const std::vector<DocumentVersion>& versions)
    {
        std::string text;
        for (const auto& it : versions)
            text += it.name + "=" + std::to_string(it.version) + ";";
        return fastHash(text);
    }

    std::string_view stateName(MemberState state)
    {
        switch (state) {
        case MemberState::Alive:
            return "alive";
        case MemberState::Suspect:
            return "suspect";
        case MemberState::Dead:
            return "dead";
        }
        return "unknown";
    }

} // namespace

std::vector<Member> MemberView::usable(MemberRole role) const
{
    std::vector<Member> chosen;
    for (const auto& it : members) {
        if (it.role == role && it.state == MemberState::Alive && !it.leaving)
            chosen.push_back(it);
    }
    return chosen;
}

std::optional<Member> MemberView::find(const std::string& node) const
{
    auto it = std::find_if(members.begin(), members.end(), [&](const Member& member) { return member.node == node; });
    if (it == members.end())
        return std::nullopt;
    return *it;
}

std::optional<Member> MemberView::answeringNode(const std::string& node, std::uint64_t incarnation) const
{
    static constexpr unsigned maximumChain = 32;
    auto key = std::make_pair(node, incarnation);
    for (unsigned n = 0; n < maximumChain; ++n) {
        auto succession = successions.find(key);
        if (succession == successions.end())
            break;
        key = { succession->second.toNode, succession->second.toIncarnation };
    }
    auto member = find(key.first);
    if (!member || member->incarnation != key.second || member->state == MemberState::Dead)
        return std::nullopt;
    return member;
}

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

    Implementation(const MembershipOptions& o, DocumentHooks h, TimerService& t, Metrics& m)
        : options(o)
        , hooks(std::move(h))
        , timers(t)
        , metrics(m)
        , table(o.self, o.table)
        , marks(o.maximumMarks)
        , socket(o.listenHost, o.listenPort, [this](const Frame& frame) { receive(frame); })
        , random(std::random_device {}())
    {
        publish();
    }

    // Every function below that ends in "Locked" needs the mutex.

    void publish()
    {
        auto next = std::make_shared<MemberView>();
        next->self = table.self();
        next->members = table.members();
        next->marks = marks.marks();
        next->successions = successions;
        std::atomic_store(&view, std::shared_ptr<const MemberView>(std::move(next)));
    }

    void notify()
    {
        auto current = std::atomic_load(&view);
        for (const auto& it : subscribers)
            it(*current);
    }

    bool takeMemberLocked(const Member& member)
    {
        auto before = table.find(member.node);
        if (!table.apply(member, steadyNow()))
            return false;
        auto after = *table.find(member.node);
        memberNews.add(member.node, after);
        if (!before || before->state != after.state || before->leaving != after.leaving || before->incarnation != after.incarnation)
            logEvent(LogLevel::Info, "member_changed", { { "member", describe(after) }, { "state", stateName(after.state) }, { "leaving", after.leaving ? "yes" : "no" } });
        return true;
    }

    bool takeMarkLocked(const LeavingMark& mark)
    {
        auto joined = marks.add(mark);
        if (!joined)
            return false;
        markNews.add(mark.endpoint, *joined);
        metrics.increment("onyxnotch_leaving_marks_total");
        logEvent(LogLevel::Info, "endpoint_leaving", { { "endpoint", mark.endpoint }, { "deadline_ms", mark.deadlineWallMilliseconds }, { "source", static_cast<int>(mark.source) } });
        return true;
    }

    bool takeSuccessionLocked(const Succession& succession)
    {
        auto [it, added] = successions.emplace(std::make_pair(succession.fromNode, succession.fromIncarnation), succession);
        if (!added && it->second.generation >= succession.generation)
            return false;
        it->second = succession;
        successionNews.add(succession.fromNode + "#" + std::to_string(succession.fromIncarnation), succession);
        logEvent(LogLevel::Info, "ledger_succession", { { "from", succession.fromNode }, { "to", succession.toNode } });
        return true;
    }

    GossipMessage messageLocked(std::uint64_t sequence, bool acknowledgementWanted)
    {
        auto count = table.members().size();
        return GossipMessage {
            .sequence = sequence,
            .acknowledgementWanted = acknowledgementWanted,
            .sender = table.self(),
            .documentDigest = digestOf(hooks.versions()),
            .members = memberNews.take(options.maximumMembersPerMessage, count),
            .marks = markNews.take(options.maximumMarksPerMessage, count),
            .successions = successionNews.take(options.maximumMembersPerMessage, count),
        };
    }

    void send(const Address& address, MessageType type, const GossipMessage& message)
    {
        auto frame = packMessage(type, message);
        metrics.increment("onyxnotch_gossip_bytes_sent_total", {}, static_cast<double>(frame.payload.size() + frameHeaderBytes));
        metrics.increment("onyxnotch_gossip_messages_sent_total");
        socket.send(address, frame);
    }

    void receive(const Frame& frame)
    {
        metrics.increment("onyxnotch_gossip_bytes_received_total", {}, static_cast<double>(frame.payload.size() + frameHeaderBytes));
        if (frame.type == MessageType::IndirectProbe) {
            auto probe = unpackMessage<IndirectProbeMessage>(MessageType::IndirectProbe, frame);
            if (probe)
                relayProbe(probe.value());
            return;
        }
        auto message = unpackMessage<GossipMessage>(frame.type, frame);
        if (!message)
            return;
        takeMessage(message.value());
        if (frame.type == MessageType::GossipAcknowledgement)
            takeAcknowledgement(message.value());
        else if (message.value().acknowledgementWanted)
            acknowledge(message.value());
    }

    void takeMessage(const GossipMessage& message)
    {
        bool changed = false;
        bool urgent = false;
        {
            std::lock_guard lock(mutex);
            changed |= takeMemberLocked(message.sender);
            for (const auto& it : message.members)
                changed |= takeMemberLocked(it);
            for (const auto& it : message.marks)
                urgent |= takeMarkLocked(it);
            for (const auto& it : message.successions)
                urgent |= takeSuccessionLocked(it);
            if (changed || urgent)
                publish();
            pushWanted |= urgent;
            noteDigestLocked(message);
        }
        if (changed || urgent)
            notify();
    }

    void noteDigestLocked(const GossipMessage& message)
    {
        if (message.documentDigest != digestOf(hooks.versions()))
            documentSource = message.sender.peerAddress();
    }

    void acknowledge(const GossipMessage& message)
    {
        GossipMessage answer;
        {
            std::lock_guard lock(mutex);
            answer = messageLocked(message.sequence, false);
        }
        send(message.sender.gossipAddress(), MessageType::GossipAcknowledgement, answer);
    }

    void takeAcknowledgement(const GossipMessage& message)
    {
        std::optional<Relay> relay;
        bool changed = false;
        {
            std::lock_guard lock(mutex);
            auto it = relays.find(message.sequence);
            if (it != relays.end()) {
                relay = it->second;
                relays.erase(it);
            } else if (probe && probe->sequence == message.sequence) {
                changed = table.confirm(probe->node, probe->incarnation, steadyNow());
                probe.reset();
            }
            if (changed)
                publish();
        }
        if (!relay)
            return;
        // Passed on unchanged but for the number: its sender is the probed node.
        auto passedOn = message;
        passedOn.sequence = relay->originSequence;
        send(relay->origin, MessageType::GossipAcknowledgement, passedOn);
    }

    void relayProbe(const IndirectProbeMessage& request)
    {
        static constexpr std::size_t maximumRelays = 256;
        GossipMessage message;
        {
            std::lock_guard lock(mutex);
            std::erase_if(relays, [&](const auto& it) { return steadyNow() - it.second.sentAt > options.probePeriod; });
            if (relays.size() >= maximumRelays)
                return;
            auto sequence = nextSequence++;
            relays.emplace(sequence, Relay { .originSequence = request.sequence, .origin = request.origin, .sentAt = steadyNow() });
            message = messageLocked(sequence, true);
        }
        send(request.target, MessageType::Gossip, message);
    }

    // Runs every tick; what has to happen depends on the probe that is under way.
    void onTick()
    {
        auto now = steadyNow();
        std::vector<std::pair<Address, Frame>> indirect;
        std::optional<std::pair<Address, GossipMessage>> direct;
        bool changed = false;
        {
            std::lock_guard lock(mutex);
            changed = expireLocked(now);
            if (probe && !probe->indirectSent && now - probe->sentAt >= options.probeTimeout)
                indirect = indirectProbesLocked();
            if (now >= nextProbeAt) {
                changed |= missLocked(now);
                direct = nextProbeLocked(now);
                nextProbeAt = now + options.probePeriod;
            }
            if (changed)
                publish();
        }
        for (const auto& [address, frame] : indirect)
            socket.send(address, frame);
        if (direct)
            send(direct->first, MessageType::Gossip, direct->second);
        if (changed)
            notify();
        pushNews();
        fetchDocuments();
    }

    bool expireLocked(SteadyTime now)
    {
        auto died = table.expire(now);
        for (const auto& it : died) {
            memberNews.add(it.node, it);
            logEvent(LogLevel::Warning, "member_dead", { { "member", describe(it) } });
        }
        return !died.empty();
    }

    bool missLocked(SteadyTime now)
    {
        if (!probe)
            return false;
        auto missed = *probe;
        probe.reset();
        if (!table.suspect(missed.node, now))
            return false;
        memberNews.add(missed.node, *table.find(missed.node));
        metrics.increment("onyxnotch_probe_misses_total");
        logEvent(LogLevel::Warning, "member_suspect", { { "member", missed.node } });
        return true;
    }

    std::vector<Member> othersLocked(bool deadToo) const
    {
        auto others = table.members();
        std::erase_if(others, [&](const Member& it) { return it.node == table.self().node || (!deadToo && it.state == MemberState::Dead); });
        return others;
    }

    std::optional<std::pair<Address, GossipMessage>> nextProbeLocked(SteadyTime now)
    {
        // Each member is probed once before any is probed twice, in an order that differs each round.
        while (!round.empty()) {
            auto member = table.find(round.back());
            round.pop_back();
            if (!member || !worthProbing(*member))
                continue;
            probe = Probe { .sequence = nextSequence++, .node = member->node, .incarnation = member->incarnation, .sentAt = now };
            return std::make_pair(member->gossipAddress(), messageLocked(probe->sequence, true));
        }
        for (const auto& it : othersLocked(true))
            round.push_back(it.node);
        std::shuffle(round.begin(), round.end(), random);
        return std::nullopt;
    }

    // Dead members are still tried now and then, so that two halves of a cut network find each other again.
    bool worthProbing(const Member& member)
    {
        static constexpr unsigned oneIn = 8;
        return member.state != MemberState::Dead || random() % oneIn == 0;
    }

    std::vector<std::pair<Address, Frame>> indirectProbesLocked()
    {
        probe->indirectSent = true;
        auto target = table.find(probe->node);
        std::vector<std::pair<Address, Frame>> frames;
        if (!target)
            return frames;
        IndirectProbeMessage message { .sequence = probe->sequence, .origin = table.self().gossipAddress(), .target = target->gossipAddress() };
        for (const auto& it : sampleLocked(options.indirectProbes, probe->node))
            frames.emplace_back(it.gossipAddress(), packMessage(MessageType::IndirectProbe, message));
        return frames;
    }

    std::vector<Member> sampleLocked(std::size_t count, const std::string& except)
    {
        auto others = othersLocked(false);
        std::erase_if(others, [&](const Member& it) { return it.node == except; });
        std::shuffle(others.begin(), others.end(), random);
        if (others.size() > count)
            others.resize(count);
        return others;
    }

    // Sends urgent news to a few nodes at once, which do the same: it is everywhere after about log(nodes) ticks.
    void pushNews()
    {
        std::vector<std::pair<Address, GossipMessage>> messages;
        {
            std::lock_guard lock(mutex);
            if (!pushWanted)
                return;
            pushWanted = false;
            for (const auto& it : sampleLocked(options.pushFanOut, {}))
                messages.emplace_back(it.gossipAddress(), messageLocked(0, false));
            // More marks than one message holds: the rest goes out with the next tick.
            pushWanted = markNews.hasUnsent();
        }
        for (const auto& [address, message] : messages)
            send(address, MessageType::Gossip, message);
    }

    // Fetches what the node that last showed another digest has and this one lacks.
    void fetchDocuments()
    {
        std::optional<Address> source;
        {
            std::lock_guard lock(mutex);
            std::swap(source, documentSource);
        }
        if (!source)
            return;
        DocumentRequestMessage request { .versions = hooks.versions() };
        auto frame = callPeer(*source, packMessage(MessageType::DocumentRequest, request), peerTimeout);
        if (!frame)
            return;
        auto reply = unpackMessage<DocumentReplyMessage>(MessageType::DocumentReply, frame.value());
        if (reply)
            applyDocuments(reply.value().documents);
    }

    void applyDocuments(const std::vector<DocumentUpdate>& documents)
    {
        bool changed = false;
        for (const auto& it : documents)
            changed |= hooks.apply(it);
        if (!changed)
            return;
        std::lock_guard lock(mutex);
        pushWanted = true;
    }

    bool joinThrough(const Address& seed)
    {
        JoinRequestMessage request;
        {
            std::lock_guard lock(mutex);
            request.sender = table.self();
        }
        request.versions = hooks.versions();
        auto frame = callPeer(seed, packMessage(MessageType::JoinRequest, request), peerTimeout);
        if (!frame)
            return false;
        auto reply = unpackMessage<JoinReplyMessage>(MessageType::JoinReply, frame.value());
        if (!reply)
            return false;
        {
            std::lock_guard lock(mutex);
            for (const auto& it : reply.value().members)
                takeMemberLocked(it);
            for (const auto& it : reply.value().marks)
                takeMarkLocked(it);
            for (const auto& it : reply.value().successions)
                takeSuccessionLocked(it);
            publish();
        }
        applyDocuments(reply.value().documents);
        notify();
        return true;
    }

    Frame serveJoin(const JoinRequestMessage& request)
    {
        JoinReplyMessage reply;
        {
            std::lock_guard lock(mutex);
            takeMemberLocked(request.sender);
            pushWanted = true;
            publish();
            reply.members = table.members();
            for (const auto& [endpoint, mark] : marks.marks())
                reply.marks.push_back(mark);
            for (const auto& [key, succession] : successions)
                reply.successions.push_back(succession);
        }
        reply.documents = hooks.updatesSince(request.versions);
        notify();
        return packMessage(MessageType::JoinReply, reply);
    }

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

MembershipServer::MembershipServer(const MembershipOptions& options, DocumentHooks hooks, TimerService& timers, Metrics& metrics)
    : m_implementation(std::make_unique<Implementation>(options, std::move(hooks), timers, metrics))
{
}

MembershipServer::~MembershipServer() { stop(); }

Status MembershipServer::start()
{
    auto& it = *m_implementation;
    BOOST_OUTCOME_TRYV(it.socket.start());
    std::lock_guard lock(it.mutex);
    auto self = it.table.self();
    if (self.gossipPort == 0)
        self.gossipPort = it.socket.address().port;
    it.table = MemberTable(self, it.options.table);
    it.publish();
    return success();
}

Address MembershipServer::listenAddress() const { return m_implementation->socket.address(); }

void MembershipServer::setPorts(std::uint16_t httpPort, std::uint16_t peerPort)
{
    auto& it = *m_implementation;
    std::lock_guard lock(it.mutex);
    auto self = it.table.self();
    self.httpPort = httpPort;
    self.peerPort = peerPort;
    it.table = MemberTable(self, it.options.table);
    it.publish();
}

unsigned MembershipServer::join()
{
    auto& it = *m_implementation;
    unsigned answered = 0;
    std::set<Address> asked;
    auto ask = [&](const Address& seed) {
        if (asked.insert(seed).second && it.joinThrough(seed))
            ++answered;
    };
    for (const auto& seed : it.options.seeds)
        ask(seed);
    // Others may hold newer documents than the seeds: ask some more of them, in other zones too.
    static constexpr unsigned furtherNodes = 3;
    std::vector<Member> further;
    {
        std::lock_guard lock(it.mutex);
        further = it.sampleLocked(furtherNodes, {});
    }
    for (const auto& member : further)
        ask(member.peerAddress());
    it.subscription = it.timers.every(tick, [&it] { it.onTick(); });
    return answered;
}

void MembershipServer::stop()
{
    m_implementation->subscription.cancel();
    m_implementation->socket.stop();
}

std::shared_ptr<const MemberView> MembershipServer::view() const { return std::atomic_load(&m_implementation->view); }

void MembershipServer::announceLeaving()
{
    auto& it = *m_implementation;
    {
        std::lock_guard lock(it.mutex);
        it.table.setLeaving(true);
        it.memberNews.add(it.table.self().node, it.table.self());
        it.pushWanted = true;
        it.publish();
    }
    it.notify();
    it.timers.post([&it] { it.pushNews(); });
}

bool MembershipServer::announceMark(const LeavingMark& mark)
{
    auto& it = *m_implementation;
    {
        std::lock_guard lock(it.mutex);
        if (!it.takeMarkLocked(mark))
            return false;
        it.pushWanted = true;
        it.publish();
    }
    it.notify();
    return true;
}

void MembershipServer::announceSuccession(const Succession& succession)
{
    auto& it = *m_implementation;
    {
        std::lock_guard lock(it.mutex);
        if (!it.takeSuccessionLocked(succession))
            return;
        it.pushWanted = true;
        it.publish();
    }
    it.notify();
    it.timers.post([&it] { it.pushNews(); });
}

void MembershipServer::announceDocuments()
{
    auto& it = *m_implementation;
    std::lock_guard lock(it.mutex);
    it.pushWanted = true;
}

std::optional<Frame> MembershipServer::handlePeerFrame(const Frame& frame)
{
    auto& it = *m_implementation;
    if (frame.type == MessageType::JoinRequest) {
        auto request = unpackMessage<JoinRequestMessage>(frame.type, frame);
        if (!request)
            return Frame { .type = MessageType::Error, .payload = request.error().message };
        return it.serveJoin(request.value());
    }
    if (frame.type == MessageType::DocumentRequest) {
        auto request = unpackMessage<DocumentRequestMessage>(frame.type, frame);
        if (!request)
            return Frame { .type = MessageType::Error, .payload = request.error().message };
        DocumentReplyMessage reply { .documents = it.hooks.updatesSince(request.value().versions) };
        return packMessage(MessageType::DocumentReply, reply);
    }
    return std::nullopt;
}

void MembershipServer::subscribe(std::function<void(const MemberView&)> subscriber)
{
    m_implementation->subscribers.push_back(std::move(subscriber));
}

} // namespace Onyxnotch
