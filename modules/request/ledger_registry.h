// Registry of the request ledgers that this node hosts: its own, and those it received from nodes that shut down. Thread safe.
#pragma once

#include "core/clock.h"
#include "modules/request/ledger.h"
#include <condition_variable>
#include <memory>
#include <mutex>

namespace Onyxnotch {

// Offers a ledger to a successor.
struct LedgerOfferMessage {
    std::string senderNode {}; // Node that sends the offer.
    std::uint64_t senderIncarnation { 0 };
    std::string homeNode {}; // Node that issued the ledger's tickets. Not the sender if the sender received the ledger itself.
    std::uint64_t homeIncarnation { 0 };
    std::uint32_t generation { 1 }; // Increases with each node to which the sender offers its ledgers.
    std::string ticketKey {}; // Key with which the home signs its tickets.
    std::uint64_t ledgerTime { 0 }; // Current time on this ledger's clock, in milliseconds, when the offer was made.
    LedgerContent content {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(senderNode, senderIncarnation, homeNode, homeIncarnation, generation, ticketKey, ledgerTime, content);
    }
};

// Ledger entry of a request that ended at the sender after the ledger was transferred.
struct LedgerUpdateMessage {
    std::string homeNode {};
    std::uint64_t homeIncarnation { 0 };
    LedgerEntry entry;

    template <class Archive>
    void serialize(Archive& archive) { archive(homeNode, homeIncarnation, entry); }
};

struct LedgerRegistryOptions {
    std::string node {};
    std::uint64_t incarnation { 0 };
    LedgerOptions ledger {};
    Milliseconds ticketLifetime { 60000 };
    std::size_t maximumAdoptedLedgers { 64 };
};

class LedgerRegistry {
public:
    explicit LedgerRegistry(const LedgerRegistryOptions&);

    Ticket issue(const std::string& team);
    // Whether this node hosts the ledger of the node incarnation that issued the ticket.
    bool hostsLedgerOf(const Ticket&) const;
    // As Ledger::admit(), with this node as the holder. Errors: Unauthorized if the ticket was not issued to this team; NotFound if this
    // node does not host the ticket's ledger.
    Result<LedgerDecision> admit(const Ticket&, const std::string& team);
    // As Ledger::refuse(). Returns false if this node does not host the ticket's ledger.
    bool refuse(const Ticket&);
    // As Ledger::finish(). Also wakes callers of waitFinished().
    bool finish(const std::string& requestId, RequestOutcome, int httpStatus = 0, const std::string& body = {});
    void setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation);
    std::optional<LedgerEntry> find(const std::string& requestId) const;
    // Waits up to `limit` until the request is no longer running, and returns its entry. Empty if the request is unknown.
    std::optional<LedgerEntry> waitFinished(const std::string& requestId, Milliseconds limit);
    // Checks that the ticket was issued to the team. Errors: Unauthorized and NotFound, as for admit().
    Status verify(const Ticket&, const std::string& team) const;

    // Marks all ledgers as transferred and returns an offer of each. From then on no request is admitted here.
    std::vector<LedgerOfferMessage> startTransferAll(std::uint32_t generation);
    // Reverts startTransferAll(). Only allowed if no node took any of the ledgers.
    void cancelTransferAll();
    // Whether this node's own ledger is marked as transferred.
    bool given() const;
    // Adds a ledger offered by another node; does nothing if this node already hosts it. Errors: Exhausted if it hosts too many.
    Status adopt(const LedgerOfferMessage&);
    // Sets the outcome in an adopted ledger of a request that ended at the sender. Ignored if this node does not host the ledger.
    void applyUpdate(const LedgerUpdateMessage&);
    // Removes expired entries from all ledgers, as Ledger::expire().
    void expire();
    std::size_t entryCount() const;

private:
    struct HostedLedger {
        std::unique_ptr<TicketIssuer> issuer;
        Ledger ledger;
        std::uint64_t clockOffset { 0 }; // Milliseconds to add to this node's clock to get the ledger's.
    };
    using HomeIncarnation = std::pair<std::string, std::uint64_t>; // Id and incarnation of the node that issued a ledger's tickets.

    std::uint64_t now() const;
    const HostedLedger* findLedger(const Ticket&) const;
    HostedLedger* findLedger(const Ticket&);
    HostedLedger* findLedgerOfRequest(const std::string& requestId);

    LedgerRegistryOptions m_options;
    SteadyTime m_origin {};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<HomeIncarnation, HostedLedger> m_hostedLedgers {};
};

} // namespace Onyxnotch
