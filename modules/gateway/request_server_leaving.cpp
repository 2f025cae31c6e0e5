// How a request server leaves, and how it takes over what a leaving one gives it.
#include "core/log.h"
#include "modules/gateway/request_server.h"
#include <algorithm>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumMovedEntries = 20000;
    constexpr Milliseconds lastMessagesTime { 400 };

} // namespace

void RequestServer::beginLeaving(SteadyTime deadline)
{
    if (m_leaving.exchange(true))
        return;
    m_membership.announceLeaving();
    m_handover.giveLedgers(deadline);
}

void RequestServer::handOver(SteadyTime deadline)
{
    {
        // Requests that were admitted before the ledgers were given get into the table first.
        std::unique_lock acceptanceLock(m_acceptance);
    }
    auto requests = m_table.all();
    std::erase_if(requests, [](const auto& it) { return it->answer().outcome() == RequestOutcome::NotRun; });
    auto moved = [this](const std::shared_ptr<ActiveRequest>& request, const Member& target) {
        const auto& id = request->description().id;
        {
            std::lock_guard lock(m_mutex);
            if (m_movedTo.size() < maximumMovedEntries)
                m_movedTo[id] = { target.httpAddress().text() };
        }
        m_ledgers.setHolder(id, target.node, target.incarnation);
    };
    auto left = [this](const std::shared_ptr<ActiveRequest>& request) {
        request->clearInterruption();
        request->answer().clearMoved();
        if (request->answer().outcome() == RequestOutcome::Running)
            startThread(request);
    };
    m_handover.giveRequests(requests, deadline, moved, left);
    // A call to a plain service cannot be moved: it gets the time that is left.
    auto lastMoment = deadline - lastMessagesTime;
    std::unique_lock lock(m_mutex);
    m_idle.wait_until(lock, lastMoment, [this] { return m_plainCalls.empty(); });
    lock.unlock();
    giveUpPlainCalls();
}

void RequestServer::giveUpPlainCalls()
{
    std::lock_guard lock(m_mutex);
    for (const auto& [id, call] : m_plainCalls)
        call->giveUp();
}

bool RequestServer::waitIdle(Milliseconds limit, const std::function<bool()>& interrupted)
{
    static constexpr Milliseconds poll { 50 };
    auto deadline = steadyNow() + limit;
    while (m_table.runningCount() > 0) {
        if (steadyNow() >= deadline || (interrupted && interrupted()))
            return false;
        std::this_thread::sleep_for(poll);
    }
    return true;
}

std::vector<std::string> RequestServer::movedTo(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_movedTo.find(requestId);
    return it == m_movedTo.end() ? std::vector<std::string>() : it->second;
}

HandoverReplyMessage RequestServer::adopt(const RequestBatchMessage& batch)
{
    if (m_leaving)
        return { .accepted = false, .reason = "this node is leaving itself" };
    if (m_table.runningCount() + batch.requests.size() > m_options.hardMaximumActive)
        return { .accepted = false, .reason = "this node runs as many requests as it may" };
    for (const auto& it : batch.requests) {
        auto request = std::make_shared<ActiveRequest>(it);
        m_ledgers.setHolder(it.description.id, m_options.node, m_options.incarnation);
        if (!m_table.add(request))
            continue;
        request->trace(m_options.node, "taken_over", "from " + batch.giverNode + " at offset " + std::to_string(it.text.size()));
        if (it.outcome == RequestOutcome::Running)
            startThread(request);
    }
    logEvent(LogLevel::Info, "requests_taken_over", { { "from", batch.giverNode }, { "count", batch.requests.size() } });
    return { .accepted = true, .reason = {} };
}

std::optional<Frame> RequestServer::handlePeerFrame(const Frame& frame)
{
    auto malformed = [](const Error& error) { return Frame { .type = MessageType::Error, .payload = error.message }; };
    HandoverReplyMessage reply;
    if (frame.type == MessageType::SuspectNotice) {
        auto news = unpackMessage<SuspectNews>(frame.type, frame);
        if (!news)
            return malformed(news.error());
        hearSuspects(news.value());
        reply.accepted = true;
        return packMessage(MessageType::HandoverReply, reply);
    }
    if (frame.type == MessageType::LedgerOffer) {
        auto offer = unpackMessage<LedgerOfferMessage>(frame.type, frame);
        if (!offer)
            return malformed(offer.error());
        std::shared_lock acceptanceLock(m_acceptance);
        reply.accepted = !m_leaving;
        reply.reason = m_leaving ? "this node is leaving itself" : "";
        if (reply.accepted) {
            auto adopted = m_ledgers.adopt(offer.value());
            reply.accepted = adopted.has_value();
            reply.reason = adopted ? std::string() : adopted.error().message;
        }
        // The receiver knows for certain that it has the ledger, so it says so as well.
        if (reply.accepted)
            m_membership.announceSuccession({ .fromNode = offer.value().homeNode, .fromIncarnation = offer.value().homeIncarnation, .toNode = m_options.node, .toIncarnation = m_options.incarnation, .generation = offer.value().generation });
        return packMessage(MessageType::HandoverReply, reply);
    }
    if (frame.type == MessageType::RequestBatch) {
        auto batch = unpackMessage<RequestBatchMessage>(frame.type, frame);
        if (!batch)
            return malformed(batch.error());
        return packMessage(MessageType::HandoverReply, adopt(batch.value()));
    }
    if (frame.type == MessageType::LedgerUpdate) {
        auto update = unpackMessage<LedgerUpdateMessage>(frame.type, frame);
        if (!update)
            return malformed(update.error());
        m_ledgers.applyUpdate(update.value());
        reply.accepted = true;
        return packMessage(MessageType::HandoverReply, reply);
    }
    return std::nullopt;
}

} // namespace Onyxnotch
