// All ledgers that this node answers for: its own, and those that leaving nodes gave it. Thread safe.
#pragma once

#include "core/clock.h"
#include "modules/request/ledger.h"
#include <condition_variable>
#include <memory>
#include <mutex>

namespace Onyxnotch {

// A ledger on its way to a successor.
struct LedgerOfferMessage {
    std::string giverNode {}; // Who sends it.
    std::uint64_t giverIncarnation { 0 };
    std::string homeNode {}; // Whose tickets it is about; the giver may itself have been given it.
    std::uint64_t homeIncarnation { 0 };
    std::uint32_t generation { 1 };
    std::string ticketKey {};
    std::uint64_t giverNow { 0 }; // The giver's reading of this ledger's clock.
    LedgerContent content {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(giverNode, giverIncarnation, homeNode, homeIncarnation, generation, ticketKey, giverNow, content);
    }
};

// An entry that ended at the giver after its ledger was given.
struct LedgerUpdateMessage {
    std::string homeNode {};
    std::uint64_t homeIncarnation { 0 };
    LedgerEntry entry;

    template <class Archive>
    void serialize(Archive& archive) { archive(homeNode, homeIncarnation, entry); }
};

struct LedgerBookOptions {
    std::string node {};
    std::uint64_t incarnation { 0 };
    LedgerOptions ledger {};
    Milliseconds ticketLifetime { 60000 };
    std::size_t maximumAdoptedLedgers { 64 };
};

class LedgerBook {
public:
    explicit LedgerBook(const LedgerBookOptions&);

    Ticket issue(const std::string& team);
    // Whether this node answers for the ticket's home.
    bool answersFor(const Ticket&) const;
    // Errors: Unauthorized where the ticket is not this team's; NotFound where this node does not answer for its home.
    Result<LedgerDecision> admit(const Ticket&, const std::string& team);
    bool burn(const Ticket&);
    // Also wakes those who wait for it.
    bool finish(const std::string& requestId, RequestOutcome, int httpStatus = 0, const std::string& body = {});
    void setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation);
    std::optional<LedgerEntry> find(const std::string& requestId) const;
    // Waits until the entry is no longer running; empty where it is unknown.
    std::optional<LedgerEntry> waitFinished(const std::string& requestId, Milliseconds limit);
    // Errors: Unauthorized, NotFound, as for admit().
    Status verify(const Ticket&, const std::string& team) const;

    // Marks all ledgers as given and returns the offers. Nothing is admitted here from then on.
    std::vector<LedgerOfferMessage> giveAll(std::uint32_t generation);
    void takeBackAll();
    bool given() const;
    // Errors: Exhausted where there are too many. Offering the same one again is harmless.
    Status adopt(const LedgerOfferMessage&);
    void applyUpdate(const LedgerUpdateMessage&);
    void expire();
    std::size_t entryCount() const;

private:
    struct Book {
        std::unique_ptr<TicketIssuer> issuer;
        Ledger ledger;
        std::uint64_t clockOffset { 0 }; // Added to this node's clock it gives the ledger's.
    };
    using Home = std::pair<std::string, std::uint64_t>;

    std::uint64_t now() const;
    const Book* findBook(const Ticket&) const;
    Book* findBook(const Ticket&);
    Book* findBookOf(const std::string& requestId);

    LedgerBookOptions m_options;
    SteadyTime m_origin {};
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Home, Book> m_books {};
};

} // namespace Onyxnotch
