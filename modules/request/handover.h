// Gives everything that a leaving node answers for to nodes that stay: its ledgers first, then its requests, the longest first.
#pragma once

#include "core/metrics.h"
#include "modules/request/ledger_book.h"
#include "modules/request/request_table.h"
#include "servers/membership/membership_server.h"
#include <functional>
#include <optional>

namespace Onyxnotch {

struct RequestBatchMessage {
    std::string giverNode {};
    std::vector<RequestTransfer> requests {};

    template <class Archive>
    void serialize(Archive& archive) { archive(giverNode, requests); }
};

// The answer to each message of a handover.
struct HandoverReplyMessage {
    bool accepted { false };
    std::string reason {};

    template <class Archive>
    void serialize(Archive& archive) { archive(accepted, reason); }
};

struct HandoverOptions {
    Milliseconds callTimeout { 1000 }; // Of one message to a successor.
    unsigned offerAttempts { 3 }; // At one successor whose answers are lost.
    std::size_t batchBytes { 256U << 10U }; // Of request text in one message.
};

// How a handover went.
struct HandoverReport {
    bool ledgersGiven { false };
    std::string successor {};
    unsigned requestsGiven { 0 };
    unsigned requestsLeft { 0 }; // Nobody took them.

    bool operator==(const HandoverReport&) const = default;
};

// The giving side.
class Handover {
public:
    // Called for each request that another node has taken, with that node's address for callers.
    using MovedHook = std::function<void(const std::shared_ptr<ActiveRequest>&, const Member&)>;

    using LeftHook = std::function<void(const std::shared_ptr<ActiveRequest>&)>;

    Handover(const HandoverOptions&, MembershipServer&, LedgerBook&, Metrics&);

    // Offers all ledgers to one successor. Marks them as given first, and takes them back only where it certainly has not got them.
    // Calling it again after it succeeded does nothing.
    bool giveLedgers(SteadyTime deadline);
    // Stops the requests' threads and gives the requests away. `left` gets those that nobody took.
    HandoverReport giveRequests(std::vector<std::shared_ptr<ActiveRequest>>, SteadyTime deadline, const MovedHook& moved, const LeftHook& left);
    // Tells the successor how an entry ended here after its ledger was given. Before the successor has answered the offer, the word is
    // kept and sent then.
    void sendUpdate(const std::string& requestId);
    std::optional<Member> successor() const;

private:
    enum class OfferResult {
        Accepted,
        Refused, // Certainly not taken.
        Unclear,
    };

    // Nodes that could take over: those of other zones first.
    std::vector<Member> successors() const;
    OfferResult offerTo(const Member&, const std::vector<LedgerOfferMessage>&, SteadyTime deadline) const;
    OfferResult send(const Member&, const Frame&, SteadyTime deadline) const;
    void announce(const Member&, const std::vector<LedgerOfferMessage>&);

    HandoverOptions m_options;
    MembershipServer& m_membership;
    LedgerBook& m_ledgers;
    Metrics& m_metrics;
    mutable std::mutex m_mutex;
    std::optional<Member> m_successor {};
    std::uint32_t m_generation { 0 };
    bool m_offered { false };
    std::vector<std::string> m_pendingUpdates;
};

} // namespace Onyxnotch
