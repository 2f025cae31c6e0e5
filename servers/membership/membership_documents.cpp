// Part of MembershipServer: pushes urgent updates over UDP, and exchanges documents and join messages over TCP.
#include "servers/membership/membership_state.h"

#include "core/digest.h"
#include "core/log.h"
#include <algorithm>
#include <atomic>
#include <set>

namespace Onyxnotch {

namespace {

    constexpr Milliseconds peerCallTimeout { 1000 };

} // namespace

void MembershipServer::Implementation::pushUpdates()
{
    std::vector<std::pair<Address, GossipMessage>> messages;
    {
        std::lock_guard lock(mutex);
        if (!pushPending)
            return;
        pushPending = false;
        for (const auto& it : sampleLocked(options.pushFanOut, {}))
            messages.emplace_back(it.gossipAddress(), messageLocked(0, false));
        // Marks that did not fit into the message are pushed at the next tick.
        pushPending = markUpdates.hasUnsent();
    }
    for (const auto& [address, message] : messages)
        send(address, MessageType::Gossip, message);
}

void MembershipServer::Implementation::fetchDocuments()
{
    std::optional<Address> source;
    {
        std::lock_guard lock(mutex);
        std::swap(source, documentSource);
    }
    if (!source)
        return;
    DocumentRequestMessage request { .versions = hooks.versions() };
    auto frame = callPeer(*source, packMessage(MessageType::DocumentRequest, request), peerCallTimeout);
    if (!frame)
        return;
    auto reply = unpackMessage<DocumentReplyMessage>(MessageType::DocumentReply, frame.value());
    if (reply)
        applyDocuments(reply.value().documents);
}

void MembershipServer::Implementation::applyDocuments(const std::vector<DocumentUpdate>& documents)
{
    bool changed = false;
    for (const auto& it : documents)
        changed |= hooks.apply(it);
    if (!changed)
        return;
    std::lock_guard lock(mutex);
    pushPending = true;
}

bool MembershipServer::Implementation::joinThrough(const Address& seed)
{
    JoinRequestMessage request;
    {
        std::lock_guard lock(mutex);
        request.sender = table.self();
    }
    request.versions = hooks.versions();
    auto frame = callPeer(seed, packMessage(MessageType::JoinRequest, request), peerCallTimeout);
    if (!frame)
        return false;
    auto reply = unpackMessage<JoinReplyMessage>(MessageType::JoinReply, frame.value());
    if (!reply)
        return false;
    {
        std::lock_guard lock(mutex);
        for (const auto& it : reply.value().members)
            applyMemberLocked(it);
        for (const auto& it : reply.value().marks)
            applyMarkLocked(it);
        for (const auto& it : reply.value().successions)
            applySuccessionLocked(it);
        publish();
    }
    applyDocuments(reply.value().documents);
    notify();
    return true;
}

Frame MembershipServer::Implementation::serveJoin(const JoinRequestMessage& request)
{
    JoinReplyMessage reply;
    {
        std::lock_guard lock(mutex);
        applyMemberLocked(request.sender);
        pushPending = true;
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

} // namespace Onyxnotch
