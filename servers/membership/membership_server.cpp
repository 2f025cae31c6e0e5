#include "servers/membership/membership_server.h"

#include "core/digest.h"
#include "core/log.h"
#include "servers/membership/membership_state.h"
#include <algorithm>
#include <atomic>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds tickPeriod { 50 };

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

std::optional<Member> MemberView::responsibleNode(const std::string& node, std::uint64_t incarnation) const
{
    static constexpr unsigned maximumSuccessions = 32;
    auto key = std::make_pair(node, incarnation);
    for (unsigned n = 0; n < maximumSuccessions; ++n) {
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
    std::set<Address> contacted;
    auto joinVia = [&](const Address& seed) {
        if (contacted.insert(seed).second && it.joinThrough(seed))
            ++answered;
    };
    for (const auto& seed : it.options.seeds)
        joinVia(seed);
    // Other members may have newer documents than the seeds, so join requests are also sent to a few random members of any zone.
    static constexpr unsigned additionalNodes = 3;
    std::vector<Member> additionalMembers;
    {
        std::lock_guard lock(it.mutex);
        additionalMembers = it.sampleLocked(additionalNodes, {});
    }
    for (const auto& member : additionalMembers)
        joinVia(member.peerAddress());
    it.subscription = it.timers.every(tickPeriod, [&it] { it.onTick(); });
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
        it.memberUpdates.add(it.table.self().node, it.table.self());
        it.pushPending = true;
        it.publish();
    }
    it.notify();
    it.timers.post([&it] { it.pushUpdates(); });
}

bool MembershipServer::announceMark(const LeavingMark& mark)
{
    auto& it = *m_implementation;
    {
        std::lock_guard lock(it.mutex);
        if (!it.applyMarkLocked(mark))
            return false;
        it.pushPending = true;
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
        if (!it.applySuccessionLocked(succession))
            return;
        it.pushPending = true;
        it.publish();
    }
    it.notify();
    it.timers.post([&it] { it.pushUpdates(); });
}

void MembershipServer::announceDocuments()
{
    auto& it = *m_implementation;
    std::lock_guard lock(it.mutex);
    it.pushPending = true;
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
