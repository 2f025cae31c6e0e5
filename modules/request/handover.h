// Transfers the work of a node that is shutting down to other gateways: first its request ledgers, then its requests, those with the most
// prompt and answer text first.
#pragma once

#include "core/metrics.h"
#include "modules/request/ledger_registry.h"
#include "modules/request/request_table.h"
#include "servers/membership/membership_server.h"
#include <functional>
#include <optional>

namespace Onyxnotch {

// Requests that a node hands over to another one.
struct RequestBatchMessage {
    std::string senderNode {}; // Node that sends the batch.
    std::vector<RequestTransfer> requests {};

    template <class Archive>
    void serialize(Archive& archive) { archive(senderNode, requests); }
};

// Reply to each message of a handover.
struct HandoverReplyMessage {
    bool accepted { false };
    std::string reason {}; // Why the message was refused.

    template <class Archive>
    void serialize(Archive& archive) { archive(accepted, reason); }
};

struct HandoverOptions {
    Milliseconds callTimeout { 1000 }; // For one message to a successor and its reply.
    unsigned offerAttempts { 3 }; // How often a ledger is offered to one successor whose replies are lost.
    std::size_t batchBytes { 256U << 10U }; // Approximate prompt and answer text in one message.
};

// Result of transferring requests.
struct HandoverReport {
    bool ledgersTransferred { false }; // Whether a successor had accepted the ledgers before.
    std::string successor {}; // Node that accepted the last batch of requests.
    unsigned requestsMoved { 0 };
    unsigned requestsRemaining { 0 }; // No other node accepted them.

    bool operator==(const HandoverReport&) const = default;
};

// Sending side of a handover.
class Handover {
public:
    // Called for each request that another node accepted, with that node, whose address clients need.
    using MovedHook = std::function<void(const std::shared_ptr<ActiveRequest>&, const Member&)>;

    // Called for each request that no other node accepted.
    using RemainingHook = std::function<void(const std::shared_ptr<ActiveRequest>&)>;

    Handover(const HandoverOptions&, MembershipServer&, LedgerRegistry&, Metrics&);

    // Offers all ledgers to other gateways, one after another, until one accepts; returns whether one did. The ledgers are marked as
    // transferred before the first offer. If every gateway refuses or the deadline passes, the marks are removed. If a gateway may have
    // received them but its reply is missing, they stay marked and no other gateway is tried. A call after an accepted or unclear offer
    // only returns the earlier result.
    bool transferLedgers(SteadyTime deadline);
    // Stops the threads that run the requests and transfers the requests in batches. Calls one of the hooks for each request.
    HandoverReport transferRequests(std::vector<std::shared_ptr<ActiveRequest>>, SteadyTime deadline, const MovedHook& moved, const RemainingHook& remaining);
    // Sends the ledger entry of a request that ended here after its ledger was transferred. If no successor has accepted the ledgers yet,
    // the update is queued until one does.
    void sendUpdate(const std::string& requestId);
    // Node that accepted the ledgers, if any.
    std::optional<Member> successor() const;

private:
    enum class OfferResult {
        Accepted,
        Refused, // The node certainly did not take the content of the message.
        Unclear, // The node may have taken the content: its reply was lost or malformed.
    };

    // Gateways that can take over, those of other zones first.
    std::vector<Member> successors() const;
    OfferResult offerTo(const Member&, const std::vector<LedgerOfferMessage>&, SteadyTime deadline) const;
    OfferResult send(const Member&, const Frame&, SteadyTime deadline) const;
    // Publishes that the node now hosts the offered ledgers.
    void announceSuccessor(const Member&, const std::vector<LedgerOfferMessage>&);

    HandoverOptions m_options;
    MembershipServer& m_membership;
    LedgerRegistry& m_ledgers;
    Metrics& m_metrics;
    mutable std::mutex m_mutex;
    std::optional<Member> m_successor {};
    std::uint32_t m_generation { 0 };
    bool m_isOffered { false };
    std::vector<std::string> m_pendingUpdates;
};

} // namespace Onyxnotch
