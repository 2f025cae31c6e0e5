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

    // Splits requests into groups of about `bytes` each, in order.
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

Handover::Handover(const HandoverOptions& options, MembershipServer& membership, LedgerBook& ledgers, Metrics& metrics)
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
    // Leaving nodes of one zone spread over the others, so that a zone's reclaim does not end at a single node.
    auto order = [&](const Member& it) { return std::make_pair(it.zone == view->self.zone, fastHash(view->self.node + "|" + it.node)); };
    std::sort(others.begin(), others.end(), [&](const Member& left, const Member& right) { return order(left) < order(right); });
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
            // A refusal after a lost answer says nothing about the copy before it.
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

void Handover::announce(const Member& target, const std::vector<LedgerOfferMessage>& offers)
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

bool Handover::giveLedgers(SteadyTime deadline)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_offered)
            return m_successor.has_value();
        m_offered = true;
    }
    for (const auto& target : successors()) {
        if (steadyNow() >= deadline)
            break;
        auto offers = m_ledgers.giveAll(++m_generation);
        auto result = offerTo(target, offers, deadline);
        logEvent(LogLevel::Info, "ledgers_offered", { { "node", target.node }, { "result", result == OfferResult::Accepted ? "accepted" : result == OfferResult::Refused ? "refused"
                                                                                                                                                                         : "unclear" } });
        if (result == OfferResult::Refused)
            continue;
        if (result == OfferResult::Unclear) {
            // It may have the ledgers, so no other node may get them and this one may not go on either. If it has, it says so itself.
            m_metrics.increment("onyxnotch_handover_unclear_total");
            return false;
        }
        std::vector<std::string> pending;
        {
            std::lock_guard lock(m_mutex);
            m_successor = target;
            pending.swap(m_pendingUpdates);
        }
        announce(target, offers);
        for (const auto& it : pending)
            sendUpdate(it);
        return true;
    }
    m_ledgers.takeBackAll();
    std::lock_guard lock(m_mutex);
    m_offered = false;
    return false;
}

HandoverReport Handover::giveRequests(std::vector<std::shared_ptr<ActiveRequest>> requests, SteadyTime deadline, const MovedHook& moved, const LeftHook& left)
{
    std::sort(requests.begin(), requests.end(), [](const auto& left, const auto& right) { return contextSize(left) > contextSize(right); });
    for (const auto& it : requests)
        it->interrupt(Interruption::Handover);
    HandoverReport report;
    auto targets = successors();
    // The node that has the ledgers goes first, so that a request and its entry are at the same node.
    auto preferred = successor();
    std::stable_sort(targets.begin(), targets.end(), [&](const Member& left, const Member& right) {
        auto first = [&](const Member& it) { return preferred && it.node == preferred->node; };
        return first(left) && !first(right);
    });
    for (const auto& group : groupBySize(requests, m_options.batchBytes)) {
        RequestBatchMessage message { .giverNode = m_membership.view()->self.node };
        for (const auto& it : group) {
            it->waitStopped();
            it->answer().markMoved();
            message.requests.push_back(it->transfer());
        }
        auto frame = packMessage(MessageType::RequestBatch, message);
        auto taker = std::find_if(targets.begin(), targets.end(), [&](const Member& it) {
            // A lost answer is tried once more: taking a request twice is harmless there.
            for (unsigned n = 0; n < 2 && steadyNow() < deadline; ++n) {
                auto result = send(it, frame, deadline);
                if (result != OfferResult::Unclear)
                    return result == OfferResult::Accepted;
            }
            return false;
        });
        if (taker == targets.end()) {
            report.requestsLeft += static_cast<unsigned>(group.size());
            for (const auto& it : group)
                left(it);
            continue;
        }
        report.successor = taker->node;
        report.requestsGiven += static_cast<unsigned>(group.size());
        for (const auto& it : group)
            moved(it, *taker);
    }
    report.ledgersGiven = preferred.has_value();
    m_metrics.increment("onyxnotch_requests_handed_over_total", {}, report.requestsGiven);
    logEvent(LogLevel::Info, "requests_handed_over", { { "given", report.requestsGiven }, { "left", report.requestsLeft }, { "successor", report.successor } });
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
    // Without this word the successor says "unknown" once this node is gone: correct, but less than is known here.
    if (send(*target, frame, steadyNow() + m_options.callTimeout) != OfferResult::Accepted)
        logEvent(LogLevel::Warning, "ledger_update_lost", { { "request_id", requestId }, { "node", target->node } });
}

std::optional<Member> Handover::successor() const
{
    std::lock_guard lock(m_mutex);
    return m_successor;
}

} // namespace Onyxnotch
