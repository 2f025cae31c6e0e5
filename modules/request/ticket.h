// Tickets: single-use request ids. A ticket contains the id of the node that issued it, its home. Only the home, or the node that took over
// its ledger, decides whether the request may run. A node stores nothing when it issues a ticket; it recognizes its own tickets by a
// message authentication code (MAC).
#pragma once

#include "core/outcome.h"
#include <atomic>
#include <cstdint>
#include <string>

namespace Onyxnotch {

struct Ticket {
    std::string node {}; // Home of the ticket: the node that issued it.
    std::uint64_t incarnation { 0 }; // Incarnation of the home.
    std::uint64_t sequence { 0 }; // Increases with each ticket that the home issues.
    std::uint64_t expiry { 0 }; // Milliseconds on the clock of the home's ledger.
    std::string mac {}; // MAC over the fields above and the team, so that only this team can use the ticket.

    bool operator==(const Ticket&) const = default;
    std::string text() const;
};

// Parses the text form of a ticket; does not check its MAC. Errors: InvalidArgument if the text is not a ticket.
Result<Ticket> parseTicket(const std::string& text);

// Issues and verifies the tickets of one node incarnation. Its key is transferred to a successor along with the ledger.
class TicketIssuer {
public:
    TicketIssuer(std::string node, std::uint64_t incarnation, std::string key, std::uint64_t firstSequence = 1);

    Ticket issue(const std::string& team, std::uint64_t expiry);
    // Whether the ticket was issued to `team` by this node incarnation, with this issuer's key.
    bool verify(const Ticket&, const std::string& team) const;

    const std::string& node() const { return m_node; }
    std::uint64_t incarnation() const { return m_incarnation; }
    const std::string& key() const { return m_key; }
    std::uint64_t nextSequence() const { return m_nextSequence; }

private:
    std::string computeMac(const Ticket&, const std::string& team) const;

    std::string m_node {};
    std::uint64_t m_incarnation;
    std::string m_key {};
    std::atomic<std::uint64_t> m_nextSequence;
};

} // namespace Onyxnotch
