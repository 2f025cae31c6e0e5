// Probes, acknowledgements, and what datagrams carry.
#include "servers/membership/membership_state.h"

#include "core/digest.h"
#include "core/log.h"
#include <algorithm>
#include <atomic>
#include <set>

namespace Onyxnotch {

namespace {

    std::string describe(const Member& member)
    {
        return member.node + "#" + std::to_string(member.incarnation);
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

std::uint64_t detail::digestOf(const std::vector<DocumentVersion>& versions)
{
    std::string text;
    for (const auto& it : versions)
        text += it.name + "=" + std::to_string(it.version) + ";";
    return fastHash(text);
}

MembershipServer::Implementation::Implementation(const MembershipOptions& o, DocumentHooks h, TimerService& t, Metrics& m)
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

void MembershipServer::Implementation::publish()
{
    auto next = std::make_shared<MemberView>();
    next->self = table.self();
    next->members = table.members();
    next->marks = marks.marks();
    next->successions = successions;
    std::atomic_store(&view, std::shared_ptr<const MemberView>(std::move(next)));
}

void MembershipServer::Implementation::notify()
{
    auto current = std::atomic_load(&view);
    for (const auto& it : subscribers)
        it(*current);
}

bool MembershipServer::Implementation::takeMemberLocked(const Member& member)
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

bool MembershipServer::Implementation::takeMarkLocked(const LeavingMark& mark)
{
    auto joined = marks.add(mark);
    if (!joined)
        return false;
    markNews.add(mark.endpoint, *joined);
    metrics.increment("onyxnotch_leaving_marks_total");
    logEvent(LogLevel::Info, "endpoint_leaving", { { "endpoint", mark.endpoint }, { "deadline_ms", mark.deadlineWallMilliseconds }, { "source", static_cast<int>(mark.source) } });
    return true;
}

bool MembershipServer::Implementation::takeSuccessionLocked(const Succession& succession)
{
    auto [it, added] = successions.emplace(std::make_pair(succession.fromNode, succession.fromIncarnation), succession);
    if (!added && it->second.generation >= succession.generation)
        return false;
    it->second = succession;
    successionNews.add(succession.fromNode + "#" + std::to_string(succession.fromIncarnation), succession);
    logEvent(LogLevel::Info, "ledger_succession", { { "from", succession.fromNode }, { "to", succession.toNode } });
    return true;
}

GossipMessage MembershipServer::Implementation::messageLocked(std::uint64_t sequence, bool acknowledgementWanted)
{
    auto count = table.members().size();
    return GossipMessage {
        .sequence = sequence,
        .acknowledgementWanted = acknowledgementWanted,
        .sender = table.self(),
        .documentDigest = detail::digestOf(hooks.versions()),
        .members = memberNews.take(options.maximumMembersPerMessage, count),
        .marks = markNews.take(options.maximumMarksPerMessage, count),
        .successions = successionNews.take(options.maximumMembersPerMessage, count),
    };
}

// Only the member itself can say that it lives, and the news of its death may have been sent as often as news are while it was cut off.
void MembershipServer::Implementation::addStandingLocked(GossipMessage& message, const std::string& receiver) const
{
    auto standing = table.find(receiver);
    if (!standing || standing->state == MemberState::Alive)
        return;
    std::erase_if(message.members, [&](const Member& it) { return it.node == receiver; });
    message.members.push_back(*standing);
}

void MembershipServer::Implementation::send(const Address& address, MessageType type, const GossipMessage& message)
{
    auto frame = packMessage(type, message);
    metrics.increment("onyxnotch_gossip_bytes_sent_total", {}, static_cast<double>(frame.payload.size() + frameHeaderBytes));
    metrics.increment("onyxnotch_gossip_messages_sent_total");
    socket.send(address, frame);
}

void MembershipServer::Implementation::receive(const Frame& frame)
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

void MembershipServer::Implementation::takeMessage(const GossipMessage& message)
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

void MembershipServer::Implementation::noteDigestLocked(const GossipMessage& message)
{
    if (message.documentDigest != detail::digestOf(hooks.versions()))
        documentSource = message.sender.peerAddress();
}

void MembershipServer::Implementation::acknowledge(const GossipMessage& message)
{
    GossipMessage answer;
    {
        std::lock_guard lock(mutex);
        answer = messageLocked(message.sequence, false);
        addStandingLocked(answer, message.sender.node);
    }
    send(message.sender.gossipAddress(), MessageType::GossipAcknowledgement, answer);
}

void MembershipServer::Implementation::takeAcknowledgement(const GossipMessage& message)
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

void MembershipServer::Implementation::relayProbe(const IndirectProbeMessage& request)
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

void MembershipServer::Implementation::onTick()
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

bool MembershipServer::Implementation::expireLocked(SteadyTime now)
{
    auto died = table.expire(now);
    for (const auto& it : died) {
        memberNews.add(it.node, it);
        logEvent(LogLevel::Warning, "member_dead", { { "member", describe(it) } });
    }
    return !died.empty();
}

bool MembershipServer::Implementation::missLocked(SteadyTime now)
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

std::vector<Member> MembershipServer::Implementation::othersLocked(bool deadToo) const
{
    auto others = table.members();
    std::erase_if(others, [&](const Member& it) { return it.node == table.self().node || (!deadToo && it.state == MemberState::Dead); });
    return others;
}

std::optional<std::pair<Address, GossipMessage>> MembershipServer::Implementation::nextProbeLocked(SteadyTime now)
{
    // Each member is probed once before any is probed twice, in an order that differs each round.
    while (!round.empty()) {
        auto member = table.find(round.back());
        round.pop_back();
        if (!member || !worthProbing(*member))
            continue;
        probe = Probe { .sequence = nextSequence++, .node = member->node, .incarnation = member->incarnation, .sentAt = now };
        auto message = messageLocked(probe->sequence, true);
        addStandingLocked(message, member->node);
        return std::make_pair(member->gossipAddress(), std::move(message));
    }
    for (const auto& it : othersLocked(true))
        round.push_back(it.node);
    std::shuffle(round.begin(), round.end(), random);
    return std::nullopt;
}

bool MembershipServer::Implementation::worthProbing(const Member& member)
{
    static constexpr unsigned oneIn = 8;
    return member.state != MemberState::Dead || random() % oneIn == 0;
}

std::vector<std::pair<Address, Frame>> MembershipServer::Implementation::indirectProbesLocked()
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

std::vector<Member> MembershipServer::Implementation::sampleLocked(std::size_t count, const std::string& except)
{
    auto others = othersLocked(false);
    std::erase_if(others, [&](const Member& it) { return it.node == except; });
    std::shuffle(others.begin(), others.end(), random);
    if (others.size() > count)
        others.resize(count);
    return others;
}

} // namespace Onyxnotch
