// Tickets: single-use request ids that name the one node that may run the request. A node hands them out without storing
// anything, and recognises its own by a message authentication code.
#pragma once

#include "core/outcome.h"
#include <atomic>
#include <cstdint>
#include <string>

namespace Onyxnotch {

struct Ticket {
    std::string node {}; // The home: the node that issued it.
    std::uint64_t incarnation { 0 }; // Of the home.
    std::uint64_t sequence { 0 }; // Rises with each ticket of the home.
    std::uint64_t expiry { 0 }; // Milliseconds on the home's ledger clock.
    std::string code {}; // Binds all of this to the team.

    bool operator==(const Ticket&) const = default;
    std::string text() const;
};

// Errors: InvalidArgument where the text is no ticket.
Result<Ticket> parseTicket(const std::string& text);

// Signs and checks the tickets of one incarnation of a node. Moves with the ledger to a successor.
class TicketIssuer {
public:
    TicketIssuer(std::string node, std::uint64_t incarnation, std::string key, std::uint64_t firstSequence = 1);

    Ticket issue(const std::string& team, std::uint64_t expiry);
    // Whether this issuer's key signed it for that team.
    bool verify(const Ticket&, const std::string& team) const;

    const std::string& node() const { return m_node; }
    std::uint64_t incarnation() const { return m_incarnation; }
    const std::string& key() const { return m_key; }
    std::uint64_t nextSequence() const { return m_nextSequence; }

private:
    std::string codeOf(const Ticket&, const std::string& team) const;

    std::string m_node {};
    std::uint64_t m_incarnation;
    std::string m_key {};
    std::atomic<std::uint64_t> m_nextSequence;
};

} // namespace Onyxnotch
