// Request ledger of one node incarnation: which of its tickets were used, and how their requests ended. Ensures that a ticket is run at
// most once. A pure state machine: the time is passed in, in milliseconds on the ledger's own clock.
#pragma once

#include "modules/request/request_outcome.h"
#include "modules/request/ticket.h"
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <optional>

namespace Onyxnotch {

// Record of a used ticket.
struct LedgerEntry {
    std::string requestId {}; // Text of the ticket.
    std::uint64_t sequence { 0 };
    std::uint64_t expiry { 0 }; // Of the ticket, in milliseconds on the ledger's clock.
    RequestOutcome outcome { RequestOutcome::Running };
    std::string holderNode {}; // Node that runs the request, or that has its answer.
    std::uint64_t holderIncarnation { 0 };
    int httpStatus { 0 }; // Of a plain service's answer; 0 until there is one.
    std::string body {}; // Of the same answer, unless larger than LedgerOptions::maximumBodyBytes.

    bool operator==(const LedgerEntry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, sequence, expiry, outcome, holderNode, holderIncarnation, httpStatus, body);
    }
};

enum class LedgerVerdict {
    Run, // First use: entered as running. The caller of admit() must run the request and then call finish().
    Known, // Used before; the returned entry has the outcome so far.
    Refused, // Refused before: the request was not run, and never will be.
    Expired, // The ticket has expired. Its entry may have been removed, so whether the request was run is unknown.
    Given, // The ledger was transferred to another node, which has to decide.
    Full, // No room for another entry. Refused permanently: the request was not run, and never will be.
};

struct LedgerDecision {
    LedgerVerdict verdict { LedgerVerdict::Expired };
    std::optional<LedgerEntry> entry {};

    bool operator==(const LedgerDecision&) const = default;
};

struct LedgerOptions {
    std::size_t maximumEntries { 20000 };
    std::size_t maximumBodyBytes { 65536 }; // Larger answers of plain services are not stored for repeated requests.
    std::uint64_t retention { 60000 }; // How long a finished entry is kept after its ticket has expired, in milliseconds.
};

// Content of a ledger, as sent to a successor.
struct LedgerContent {
    std::uint64_t refusedUpTo { 0 }; // Tickets with a sequence number up to this are refused if they have no entry.
    std::vector<LedgerEntry> entries {};

    template <class Archive>
    void serialize(Archive& archive) { archive(refusedUpTo, entries); }
};

class Ledger {
public:
    explicit Ledger(const LedgerOptions& options = {});
    // Continues a ledger that was received from another node.
    Ledger(const LedgerOptions&, const LedgerContent&);

    // Decides whether the ticket's request may run. A first use is entered with `holderNode` as the node that runs the request.
    LedgerDecision admit(const Ticket&, const std::string& holderNode, std::uint64_t holderIncarnation, std::uint64_t now);
    // Refuses the ticket permanently if it has not been used, so that delayed copies of its request are refused too. Returns false if the
    // ticket was used or has expired, or if the ledger was transferred: the request must then not be reported as "not run".
    bool refuse(const Ticket&, std::uint64_t now);
    // Sets the final outcome of a running entry. Returns false and changes nothing if there is no such entry or it has an outcome already.
    bool finish(const std::string& requestId, RequestOutcome, int httpStatus = 0, const std::string& body = {});
    // Records that another node has taken over the request.
    void setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation);
    // Marks the ledger as transferred and returns the content to send. From then on admit() returns Given.
    LedgerContent startTransfer();
    // Reverts startTransfer(). Only allowed if the receiver certainly did not take the ledger.
    void cancelTransfer();
    bool isTransferred() const { return m_isTransferred; }

    std::optional<LedgerEntry> find(const std::string& requestId) const;
    // Removes finished entries whose ticket expired at least the retention time ago.
    void expire(std::uint64_t now);
    std::size_t size() const { return m_entries.size(); }

private:
    LedgerOptions m_options {};
    bool m_isTransferred { false };
    std::uint64_t m_refusedUpTo { 0 }; // Tickets with a sequence number up to this are refused if they have no entry.
    std::map<std::string, LedgerEntry> m_entries {};
};

} // namespace Onyxnotch
