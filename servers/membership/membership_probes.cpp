// Part of MembershipServer: probes and acknowledgements over UDP, and the updates that these datagrams carry.
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

    std::string_view stateText(MemberState state)
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

bool MembershipServer::Implementation::applyMemberLocked(const Member& member)
{
    auto previous = table.find(member.node);
    if (!table.apply(member, steadyNow()))
        return false;
    auto updated = *table.find(member.node);
    memberUpdates.add(member.node, updated);
    if (!previous || previous->state != updated.state || previous->leaving != updated.leaving || previous->incarnation != updated.incarnation)
        logEvent(LogLevel::Info, "member_changed", { { "member", describe(updated) }, { "state", stateText(updated.state) }, { "leaving", updated.leaving ? "yes" : "no" } });
    return true;
}

bool MembershipServer::Implementation::applyMarkLocked(const LeavingMark& mark)
{
    auto merged = marks.add(mark);
    if (!merged)
        return false;
    markUpdates.add(mark.endpoint, *merged);
    metrics.increment("onyxnotch_leaving_marks_total");
    logEvent(LogLevel::Info, "endpoint_leaving", { { "endpoint", mark.endpoint }, { "deadline_ms", mark.deadlineWallMilliseconds }, { "source", static_cast<int>(mark.source) } });
    return true;
}

bool MembershipServer::Implementation::applySuccessionLocked(const Succession& succession)
{
    auto [it, added] = successions.emplace(std::make_pair(succession.fromNode, succession.fromIncarnation), succession);
    if (!added && it->second.generation >= succession.generation)
        return false;
    it->second = succession;
    successionUpdates.add(succession.fromNode + "#" + std::to_string(succession.fromIncarnation), succession);
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
        .members = memberUpdates.nextBatch(options.maximumMembersPerMessage, count),
        .marks = markUpdates.nextBatch(options.maximumMarksPerMessage, count),
        .successions = successionUpdates.nextBatch(options.maximumMembersPerMessage, count),
    };
}

// Only the receiver itself can refute that it is suspect or dead. The queued update that says so may have reached its send limit while the
// receiver was unreachable, so it is added to the message here.
void MembershipServer::Implementation::addReceiverStateLocked(GossipMessage& message, const std::string& receiver) const
{
    auto receiverState = table.find(receiver);
    if (!receiverState || receiverState->state == MemberState::Alive)
        return;
    std::erase_if(message.members, [&](const Member& it) { return it.node == receiver; });
    message.members.push_back(*receiverState);
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
    processMessage(message.value());
    if (frame.type == MessageType::GossipAcknowledgement)
        processAcknowledgement(message.value());
    else if (message.value().acknowledgementWanted)
        acknowledge(message.value());
}

void MembershipServer::Implementation::processMessage(const GossipMessage& message)
{
    bool changed = false;
    bool urgent = false;
    {
        std::lock_guard lock(mutex);
        changed |= applyMemberLocked(message.sender);
        for (const auto& it : message.members)
            changed |= applyMemberLocked(it);
        for (const auto& it : message.marks)
            urgent |= applyMarkLocked(it);
        for (const auto& it : message.successions)
            urgent |= applySuccessionLocked(it);
        if (changed || urgent)
            publish();
        pushPending |= urgent;
        compareDigestLocked(message);
    }
    if (changed || urgent)
        notify();
}

void MembershipServer::Implementation::compareDigestLocked(const GossipMessage& message)
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
        addReceiverStateLocked(answer, message.sender.node);
    }
    send(message.sender.gossipAddress(), MessageType::GossipAcknowledgement, answer);
}

void MembershipServer::Implementation::processAcknowledgement(const GossipMessage& message)
{
    std::optional<RelayedProbe> relayedProbe;
    bool changed = false;
    {
        std::lock_guard lock(mutex);
        auto it = relayedProbes.find(message.sequence);
        if (it != relayedProbes.end()) {
            relayedProbe = it->second;
            relayedProbes.erase(it);
        } else if (probe && probe->sequence == message.sequence) {
            changed = table.confirm(probe->node, probe->incarnation, steadyNow());
            probe.reset();
        }
        if (changed)
            publish();
    }
    if (!relayedProbe)
        return;
    // The acknowledgement is forwarded with only its sequence number replaced; its sender is still the probed node.
    auto forwarded = message;
    forwarded.sequence = relayedProbe->originSequence;
    send(relayedProbe->origin, MessageType::GossipAcknowledgement, forwarded);
}

void MembershipServer::Implementation::relayProbe(const IndirectProbeMessage& request)
{
    static constexpr std::size_t maximumRelayedProbes = 256;
    GossipMessage message;
    {
        std::lock_guard lock(mutex);
        std::erase_if(relayedProbes, [&](const auto& it) { return steadyNow() - it.second.sentAt > options.probePeriod; });
        if (relayedProbes.size() >= maximumRelayedProbes)
            return;
        auto sequence = nextSequence++;
        relayedProbes.emplace(sequence, RelayedProbe { .originSequence = request.sequence, .origin = request.origin, .sentAt = steadyNow() });
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
            changed |= handleMissedProbeLocked(now);
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
    pushUpdates();
    fetchDocuments();
}

bool MembershipServer::Implementation::expireLocked(SteadyTime now)
{
    auto newlyDead = table.expire(now);
    for (const auto& it : newlyDead) {
        memberUpdates.add(it.node, it);
        logEvent(LogLevel::Warning, "member_dead", { { "member", describe(it) } });
    }
    return !newlyDead.empty();
}

bool MembershipServer::Implementation::handleMissedProbeLocked(SteadyTime now)
{
    if (!probe)
        return false;
    auto missed = *probe;
    probe.reset();
    if (!table.suspect(missed.node, now))
        return false;
    memberUpdates.add(missed.node, *table.find(missed.node));
    metrics.increment("onyxnotch_probe_misses_total");
    logEvent(LogLevel::Warning, "member_suspect", { { "member", missed.node } });
    return true;
}

std::vector<Member> MembershipServer::Implementation::othersLocked(bool includeDead) const
{
    auto others = table.members();
    std::erase_if(others, [&](const Member& it) { return it.node == table.self().node || (!includeDead && it.state == MemberState::Dead); });
    return others;
}

std::optional<std::pair<Address, GossipMessage>> MembershipServer::Implementation::nextProbeLocked(SteadyTime now)
{
    // Round-robin: each member is probed once per round, and the order is shuffled for each round.
    while (!probeRound.empty()) {
        auto member = table.find(probeRound.back());
        probeRound.pop_back();
        if (!member || !shouldProbe(*member))
            continue;
        probe = Probe { .sequence = nextSequence++, .node = member->node, .incarnation = member->incarnation, .sentAt = now };
        auto message = messageLocked(probe->sequence, true);
        addReceiverStateLocked(message, member->node);
        return std::make_pair(member->gossipAddress(), std::move(message));
    }
    for (const auto& it : othersLocked(true))
        probeRound.push_back(it.node);
    std::shuffle(probeRound.begin(), probeRound.end(), random);
    return std::nullopt;
}

bool MembershipServer::Implementation::shouldProbe(const Member& member)
{
    static constexpr unsigned inverseDeadProbeProbability = 8;
    return member.state != MemberState::Dead || random() % inverseDeadProbeProbability == 0;
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

std::vector<Member> MembershipServer::Implementation::sampleLocked(std::size_t count, const std::string& excludedNode)
{
    auto others = othersLocked(false);
    std::erase_if(others, [&](const Member& it) { return it.node == excludedNode; });
    std::shuffle(others.begin(), others.end(), random);
    if (others.size() > count)
        others.resize(count);
    return others;
}

} // namespace Onyxnotch
