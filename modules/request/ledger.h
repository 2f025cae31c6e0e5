// The request ledger of one incarnation of a node: which tickets were used, and how their requests ended.
// A pure state machine. Time is the ledger's own clock in milliseconds and is passed in.
#pragma once

#include "modules/request/request_outcome.h"
#include "modules/request/ticket.h"
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <map>
#include <optional>

namespace Onyxnotch {

// A used ticket.
struct LedgerEntry {
    std::string requestId {}; // The ticket's text.
    std::uint64_t sequence { 0 };
    std::uint64_t expiry { 0 };
    RequestOutcome outcome { RequestOutcome::Running };
    std::string holderNode {}; // The node that runs the request, or has its answer.
    std::uint64_t holderIncarnation { 0 };
    int httpStatus { 0 }; // Of the answer of a plain service, once it is there.
    std::string body {};

    bool operator==(const LedgerEntry&) const = default;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(requestId, sequence, expiry, outcome, holderNode, holderIncarnation, httpStatus, body);
    }
};

enum class LedgerVerdict {
    Run, // Never seen: it is entered, and the caller of admit() must run it and then call finish().
    Known, // Seen before; the entry says more.
    Refused, // Burned by an earlier refusal: it was not run, and never will be.
    Expired, // Too old to tell.
    Given, // The ledger is with another node.
    Full, // No room to enter it. It is burned: it was not run, and never will be.
};

struct LedgerDecision {
    LedgerVerdict verdict { LedgerVerdict::Expired };
    std::optional<LedgerEntry> entry {};

    bool operator==(const LedgerDecision&) const = default;
};

struct LedgerOptions {
    std::size_t maximumEntries { 20000 };
    std::size_t maximumBodyBytes { 65536 }; // Of a plain service's answer that is kept for repeats.
    std::uint64_t retention { 60000 }; // Milliseconds that a finished entry stays after its ticket has expired.
};

// What moves to a successor.
struct LedgerContent {
    std::uint64_t floor { 0 };
    std::vector<LedgerEntry> entries {};

    template <class Archive>
    void serialize(Archive& archive) { archive(floor, entries); }
};

class Ledger {
public:
    explicit Ledger(const LedgerOptions& options = {});
    // Adopts what another node gave.
    Ledger(const LedgerOptions&, const LedgerContent&);

    // `holder` is entered as the node that runs the request.
    LedgerDecision admit(const Ticket&, const std::string& holderNode, std::uint64_t holderIncarnation, std::uint64_t now);
    // Refuses the ticket for good, where it has not been used: a copy that is still on its way will not run either.
    // Returns false where it has been used, or the ledger is given, so that "not run" may not be said.
    bool burn(const Ticket&, std::uint64_t now);
    // The first final outcome stands. Returns whether this was it.
    bool finish(const std::string& requestId, RequestOutcome, int httpStatus = 0, const std::string& body = {});
    // Another node has taken the request over.
    void setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation);
    // From now on every admit() says Given. Returns the content to send.
    LedgerContent give();
    // Only where the receiver has certainly not taken it.
    void takeBack();
    bool given() const { return m_given; }

    std::optional<LedgerEntry> find(const std::string& requestId) const;
    // Drops finished entries whose ticket expired more than the retention ago.
    void expire(std::uint64_t now);
    std::size_t size() const { return m_entries.size(); }

private:
    LedgerOptions m_options {};
    bool m_given { false };
    std::uint64_t m_floor { 0 }; // Tickets with a sequence up to this that are not entered are burned.
    std::map<std::string, LedgerEntry> m_entries {};
};

} // namespace Onyxnotch
