#include "modules/request/ticket.h"

#include "core/digest.h"
#include <array>
#include <charconv>
#include <vector>

namespace Onyxnotch {

namespace {

    // Allowed in URLs and HTTP headers, and never part of an instance id.
    constexpr char separator = '~';
    constexpr std::size_t partCount = 5;
    constexpr std::size_t maximumTextBytes = 512;

    bool readNumber(std::string_view text, std::uint64_t& number)
    {
        auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
        return ec == std::errc() && end == text.data() + text.size();
    }

    std::string textWithoutMac(const Ticket& ticket)
    {
        return ticket.node + separator + std::to_string(ticket.incarnation) + separator + std::to_string(ticket.sequence) + separator + std::to_string(ticket.expiry);
    }

} // namespace

std::string Ticket::text() const { return textWithoutMac(*this) + separator + mac; }

Result<Ticket> parseTicket(const std::string& text)
{
    Error malformed { ErrorCode::InvalidArgument, "not a ticket" };
    if (text.size() > maximumTextBytes)
        return malformed;
    std::vector<std::string_view> parts;
    std::string_view remaining = text;
    for (auto end = remaining.find(separator); end != std::string_view::npos; end = remaining.find(separator)) {
        parts.push_back(remaining.substr(0, end));
        remaining.remove_prefix(end + 1);
    }
    parts.push_back(remaining);
    Ticket ticket;
    if (parts.size() != partCount || parts[0].empty())
        return malformed;
    if (!readNumber(parts[1], ticket.incarnation) || !readNumber(parts[2], ticket.sequence) || !readNumber(parts[3], ticket.expiry))
        return malformed;
    ticket.node = parts[0];
    ticket.mac = parts[4];
    return ticket;
}

TicketIssuer::TicketIssuer(std::string node, std::uint64_t incarnation, std::string key, std::uint64_t firstSequence)
    : m_node(std::move(node))
    , m_incarnation(incarnation)
    , m_key(std::move(key))
    , m_nextSequence(firstSequence)
{
}

std::string TicketIssuer::computeMac(const Ticket& ticket, const std::string& team) const
{
    return shortMacHex(m_key, textWithoutMac(ticket) + separator + team);
}

Ticket TicketIssuer::issue(const std::string& team, std::uint64_t expiry)
{
    Ticket ticket { .node = m_node, .incarnation = m_incarnation, .sequence = m_nextSequence++, .expiry = expiry };
    ticket.mac = computeMac(ticket, team);
    return ticket;
}

bool TicketIssuer::verify(const Ticket& ticket, const std::string& team) const
{
    bool isOwn = ticket.node == m_node && ticket.incarnation == m_incarnation;
    return isOwn && equalInConstantTime(ticket.mac, computeMac(ticket, team));
}

} // namespace Onyxnotch
