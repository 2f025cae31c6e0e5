#include "modules/request/handover.h"

#include "core/digest.h"
#include "core/log.h"
#include <algorithm>

namespace Onyxnotch {

namespace {

    Milliseconds timeUntil(SteadyTime deadline)
    {
        return std::max(Milliseconds(1), toMilliseconds(deadline - steadyNow()));
    }

    std::size_t contextSize(const std::shared_ptr<ActiveRequest>& request)
    {
        return request->description().prompt.size() + request->answer().size();
    }

    // Splits the requests, in order, into groups with about `bytes` of prompt and answer text each.
    std::vector<std::vector<std::shared_ptr<ActiveRequest>>> groupBySize(const std::vector<std::shared_ptr<ActiveRequest>>& requests, std::size_t bytes)
    {
        std::vector<std::vector<std::shared_ptr<ActiveRequest>>> groups;
        std::size_t size = bytes;
        for (const auto& it : requests) {
            if (size >= bytes) {
                groups.emplace_back();
                size = 0;
            }
            groups.back().push_back(it);
            size += contextSize(it);
        }
        return groups;
    }

} // namespace

Handover::Handover(const HandoverOptions& options, MembershipServer& membership, LedgerRegistry& ledgers, Metrics& metrics)
    : m_options(options)
    , m_membership(membership)
    , m_ledgers(ledgers)
    , m_metrics(metrics)
{
}

std::vector<Member> Handover::successors() const
{
    auto view = m_membership.view();
    auto others = view->usable(MemberRole::Gateway);
    std::erase_if(others, [&](const Member& it) { return it.node == view->self.node; });
    // The hash spreads the nodes of a zone over different successors, so that a reclaim of the zone does not move all work to one node.
    auto rank = [&](const Member& it) { return std::make_pair(it.zone == view->self.zone, fastHash(view->self.node + "|" + it.node)); };
    std::sort(others.begin(), others.end(), [&](const Member& left, const Member& right) { return rank(left) < rank(right); });
    return others;
}

Handover::OfferResult Handover::send(const Member& target, const Frame& frame, SteadyTime deadline) const
{
    auto answer = callPeer(target.peerAddress(), frame, std::min(m_options.callTimeout, timeUntil(deadline)));
    if (!answer)
        return answer.error().code == ErrorCode::Unavailable ? OfferResult::Refused : OfferResult::Unclear;
    auto reply = unpackMessage<HandoverReplyMessage>(MessageType::HandoverReply, answer.value());
    if (!reply)
        return OfferResult::Unclear;
    if (!reply.value().accepted)
        logEvent(LogLevel::Info, "handover_refused", { { "node", target.node }, { "reason", reply.value().reason } });
    return reply.value().accepted ? OfferResult::Accepted : OfferResult::Refused;
}

Handover::OfferResult Handover::offerTo(const Member& target, const std::vector<LedgerOfferMessage>& offers, SteadyTime deadline) const
{
    bool anyAccepted = false;
    for (const auto& it : offers) {
        auto result = OfferResult::Unclear;
        bool earlierUnclear = false;
        for (unsigned n = 0; n < m_options.offerAttempts && result == OfferResult::Unclear && steadyNow() < deadline; ++n) {
            result = send(target, packMessage(MessageType::LedgerOffer, it), deadline);
            // After a lost reply or an accepted offer the node may already have a ledger, and a later refusal does not rule that out.
            if (result == OfferResult::Refused && (earlierUnclear || anyAccepted))
                result = OfferResult::Unclear;
            earlierUnclear |= result == OfferResult::Unclear;
        }
        if (result != OfferResult::Accepted)
            return result;
        anyAccepted = true;
    }
    return OfferResult::Accepted;
}

void Handover::announceSuccessor(const Member& target, const std::vector<LedgerOfferMessage>& offers)
{
    for (const auto& it : offers) {
        m_membership.announceSuccession({
            .fromNode = it.homeNode,
            .fromIncarnation = it.homeIncarnation,
            .toNode = target.node,
            .toIncarnation = target.incarnation,
            .generation = it.generation,
        });
    }
}

bool Handover::transferLedgers(SteadyTime deadline)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_isOffered)
            return m_successor.has_value();
        m_isOffered = true;
    }
    for (const auto& target : successors()) {
        if (steadyNow() >= deadline)
            break;
        auto offers = m_ledgers.startTransferAll(++m_generation);
        auto result = offerTo(target, offers, deadline);
        logEvent(LogLevel::Info, "ledgers_offered", { { "node", target.node }, { "result", result == OfferResult::Accepted ? "accepted" : result == OfferResult::Refused ? "refused"
                                                                                                                                                                         : "unclear" } });
        if (result == OfferResult::Refused)
            continue;
        if (result == OfferResult::Unclear) {
            // The node may have the ledgers, so they must not be offered to another one, and this node must not admit tickets again. If the
            // node has them, it announces the succession itself.
            m_metrics.increment("onyxnotch_handover_unclear_total");
            return false;
        }
        std::vector<std::string> pending;
        {
            std::lock_guard lock(m_mutex);
            m_successor = target;
            pending.swap(m_pendingUpdates);
        }
        announceSuccessor(target, offers);
        for (const auto& it : pending)
            sendUpdate(it);
        return true;
    }
    m_ledgers.cancelTransferAll();
    std::lock_guard lock(m_mutex);
    m_isOffered = false;
    return false;
}

HandoverReport Handover::transferRequests(std::vector<std::shared_ptr<ActiveRequest>> requests, SteadyTime deadline, const MovedHook& moved, const RemainingHook& remaining)
{
    std::sort(requests.begin(), requests.end(), [](const auto& left, const auto& right) { return contextSize(left) > contextSize(right); });
    for (const auto& it : requests)
        it->interrupt(Interruption::Handover);
    HandoverReport report;
    auto targets = successors();
    // Try the node with the ledgers first, so that a request and its ledger entry are at the same node.
    auto preferred = successor();
    std::stable_sort(targets.begin(), targets.end(), [&](const Member& left, const Member& right) {
        auto isPreferred = [&](const Member& it) { return preferred && it.node == preferred->node; };
        return isPreferred(left) && !isPreferred(right);
    });
    for (const auto& group : groupBySize(requests, m_options.batchBytes)) {
        RequestBatchMessage message { .senderNode = m_membership.view()->self.node };
        for (const auto& it : group) {
            it->waitUntilStopped();
            it->answer().markMoved();
            message.requests.push_back(it->transfer());
        }
        auto frame = packMessage(MessageType::RequestBatch, message);
        auto receiver = std::find_if(targets.begin(), targets.end(), [&](const Member& it) {
            // Send the batch once more if the reply is lost: the receiver ignores requests that it already has.
            for (unsigned n = 0; n < 2 && steadyNow() < deadline; ++n) {
                auto result = send(it, frame, deadline);
                if (result != OfferResult::Unclear)
                    return result == OfferResult::Accepted;
            }
            return false;
        });
        if (receiver == targets.end()) {
            report.requestsRemaining += static_cast<unsigned>(group.size());
            for (const auto& it : group)
                remaining(it);
            continue;
        }
        report.successor = receiver->node;
        report.requestsMoved += static_cast<unsigned>(group.size());
        for (const auto& it : group)
            moved(it, *receiver);
    }
    report.ledgersTransferred = preferred.has_value();
    m_metrics.increment("onyxnotch_requests_handed_over_total", {}, report.requestsMoved);
    logEvent(LogLevel::Info, "requests_handed_over", { { "given", report.requestsMoved }, { "left", report.requestsRemaining }, { "successor", report.successor } });
    return report;
}

void Handover::sendUpdate(const std::string& requestId)
{
    std::optional<Member> target;
    {
        std::lock_guard lock(m_mutex);
        target = m_successor;
        if (!target)
            m_pendingUpdates.push_back(requestId);
    }
    auto entry = m_ledgers.find(requestId);
    auto ticket = parseTicket(requestId);
    if (!target || !entry || !ticket)
        return;
    LedgerUpdateMessage message { .homeNode = ticket.value().node, .homeIncarnation = ticket.value().incarnation, .entry = *entry };
    auto frame = packMessage(MessageType::LedgerUpdate, message);
    // If this update is lost, the successor reports the outcome as "unknown" after this node has stopped. That is correct, but less than is
    // known here.
    if (send(*target, frame, steadyNow() + m_options.callTimeout) != OfferResult::Accepted)
        logEvent(LogLevel::Warning, "ledger_update_lost", { { "request_id", requestId }, { "node", target->node } });
}

std::optional<Member> Handover::successor() const
{
    std::lock_guard lock(m_mutex);
    return m_successor;
}

} // namespace Onyxnotch
