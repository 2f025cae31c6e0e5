// RequestServer methods for shutting down, and for taking over ledgers and requests from a gateway that shuts down.
#include "core/log.h"
#include "modules/gateway/request_server.h"
#include <algorithm>
#include <thread>

namespace Onyxnotch {

namespace {

    constexpr std::size_t maximumMovedEntries = 20000;
    // Part of the time before the deadline that is reserved for the last messages to the successor.
    constexpr Milliseconds finalMessageReserve { 400 };

} // namespace

void RequestServer::beginShutdown(SteadyTime deadline)
{
    if (m_isShuttingDown.exchange(true))
        return;
    m_membership.announceLeaving();
    m_handover.transferLedgers(deadline);
}

void RequestServer::handOver(SteadyTime deadline)
{
    {
        // Waits until every request that was admitted before the ledgers were handed over is in the table.
        std::unique_lock acceptanceLock(m_acceptanceMutex);
    }
    auto requests = m_table.all();
    std::erase_if(requests, [](const auto& it) { return it->answer().outcome() == RequestOutcome::NotRun; });
    auto onMoved = [this](const std::shared_ptr<ActiveRequest>& request, const Member& target) {
        const auto& id = request->description().id;
        {
            std::lock_guard lock(m_mutex);
            if (m_newAddresses.size() < maximumMovedEntries)
                m_newAddresses[id] = { target.httpAddress().text() };
        }
        m_ledgers.setHolder(id, target.node, target.incarnation);
    };
    auto onNotMoved = [this](const std::shared_ptr<ActiveRequest>& request) {
        request->clearInterruption();
        request->answer().clearMoved();
        if (request->answer().outcome() == RequestOutcome::Running)
            startThread(request);
    };
    m_handover.transferRequests(requests, deadline, onMoved, onNotMoved);
    // Calls to plain services can't be moved: they may use the remaining time.
    auto plainCallDeadline = deadline - finalMessageReserve;
    std::unique_lock lock(m_mutex);
    m_idleCondition.wait_until(lock, plainCallDeadline, [this] { return m_plainCalls.empty(); });
    lock.unlock();
    abandonPlainCalls();
}

void RequestServer::abandonPlainCalls()
{
    std::lock_guard lock(m_mutex);
    for (const auto& [id, call] : m_plainCalls)
        call->giveUp();
}

bool RequestServer::waitUntilIdle(Milliseconds limit, const std::function<bool()>& interrupted)
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

std::vector<std::string> RequestServer::newAddressesOf(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto it = m_newAddresses.find(requestId);
    return it == m_newAddresses.end() ? std::vector<std::string>() : it->second;
}

HandoverReplyMessage RequestServer::adoptRequests(const RequestBatchMessage& batch)
{
    if (m_isShuttingDown)
        return { .accepted = false, .reason = "this node is leaving itself" };
    if (m_table.runningCount() + batch.requests.size() > m_options.maximumActiveWithHandovers)
        return { .accepted = false, .reason = "this node runs as many requests as it may" };
    for (const auto& it : batch.requests) {
        auto request = std::make_shared<ActiveRequest>(it);
        m_ledgers.setHolder(it.description.id, m_options.node, m_options.incarnation);
        if (!m_table.add(request))
            continue;
        request->trace(m_options.node, "taken_over", "from " + batch.senderNode + " at offset " + std::to_string(it.text.size()));
        if (it.outcome == RequestOutcome::Running)
            startThread(request);
    }
    logEvent(LogLevel::Info, "requests_taken_over", { { "from", batch.senderNode }, { "count", batch.requests.size() } });
    return { .accepted = true, .reason = {} };
}

std::optional<Frame> RequestServer::handlePeerFrame(const Frame& frame)
{
    auto malformed = [](const Error& error) { return Frame { .type = MessageType::Error, .payload = error.message }; };
    HandoverReplyMessage reply;
    if (frame.type == MessageType::SuspectNotice) {
        auto suspectUpdate = unpackMessage<SuspectUpdate>(frame.type, frame);
        if (!suspectUpdate)
            return malformed(suspectUpdate.error());
        applySuspectUpdate(suspectUpdate.value());
        reply.accepted = true;
        return packMessage(MessageType::HandoverReply, reply);
    }
    if (frame.type == MessageType::LedgerOffer) {
        auto offer = unpackMessage<LedgerOfferMessage>(frame.type, frame);
        if (!offer)
            return malformed(offer.error());
        std::shared_lock acceptanceLock(m_acceptanceMutex);
        reply.accepted = !m_isShuttingDown;
        reply.reason = m_isShuttingDown ? "this node is leaving itself" : "";
        if (reply.accepted) {
            auto adopted = m_ledgers.adopt(offer.value());
            reply.accepted = adopted.has_value();
            reply.reason = adopted ? std::string() : adopted.error().message;
        }
        // The sender announces the succession too, but may never get this reply; the receiver knows for certain that it has the ledger.
        if (reply.accepted)
            m_membership.announceSuccession({ .fromNode = offer.value().homeNode, .fromIncarnation = offer.value().homeIncarnation, .toNode = m_options.node, .toIncarnation = m_options.incarnation, .generation = offer.value().generation });
        return packMessage(MessageType::HandoverReply, reply);
    }
    if (frame.type == MessageType::RequestBatch) {
        auto batch = unpackMessage<RequestBatchMessage>(frame.type, frame);
        if (!batch)
            return malformed(batch.error());
        return packMessage(MessageType::HandoverReply, adoptRequests(batch.value()));
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
