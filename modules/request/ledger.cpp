#include "modules/request/ledger.h"

#include <algorithm>

namespace Onyxnotch {

Ledger::Ledger(const LedgerOptions& options)
    : m_options(options)
{
}

Ledger::Ledger(const LedgerOptions& options, const LedgerContent& content)
    : m_options(options)
    , m_floor(content.floor)
{
    for (const auto& it : content.entries)
        m_entries.emplace(it.requestId, it);
}

LedgerDecision Ledger::admit(const Ticket& ticket, const std::string& holderNode, std::uint64_t holderIncarnation, std::uint64_t now)
{
    auto id = ticket.text();
    // A given ledger still knows its entries, but its new node may know more.
    if (m_given)
        return { .verdict = LedgerVerdict::Given, .entry = find(id) };
    auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        auto verdict = it->second.outcome == RequestOutcome::NotRun ? LedgerVerdict::Refused : LedgerVerdict::Known;
        return { .verdict = verdict, .entry = it->second };
    }
    // Its entry may have been dropped already.
    if (ticket.expiry <= now)
        return { .verdict = LedgerVerdict::Expired, .entry = std::nullopt };
    if (ticket.sequence <= m_floor)
        return { .verdict = LedgerVerdict::Refused, .entry = std::nullopt };
    if (m_entries.size() >= m_options.maximumEntries) {
        m_floor = std::max(m_floor, ticket.sequence);
        return { .verdict = LedgerVerdict::Full, .entry = std::nullopt };
    }
    LedgerEntry entry {
        .requestId = id,
        .sequence = ticket.sequence,
        .expiry = ticket.expiry,
        .outcome = RequestOutcome::Running,
        .holderNode = holderNode,
        .holderIncarnation = holderIncarnation,
    };
    m_entries.emplace(id, entry);
    return { .verdict = LedgerVerdict::Run, .entry = entry };
}

bool Ledger::burn(const Ticket& ticket, std::uint64_t now)
{
    auto decision = admit(ticket, {}, 0, now);
    if (decision.verdict == LedgerVerdict::Run) {
        m_entries.at(ticket.text()).outcome = RequestOutcome::NotRun;
        return true;
    }
    return decision.verdict == LedgerVerdict::Refused || decision.verdict == LedgerVerdict::Full;
}

bool Ledger::finish(const std::string& requestId, RequestOutcome outcome, int httpStatus, const std::string& body)
{
    auto it = m_entries.find(requestId);
    if (it == m_entries.end() || it->second.outcome != RequestOutcome::Running)
        return false;
    it->second.outcome = outcome;
    it->second.httpStatus = httpStatus;
    if (body.size() <= m_options.maximumBodyBytes)
        it->second.body = body;
    return true;
}

void Ledger::setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation)
{
    auto it = m_entries.find(requestId);
    if (it == m_entries.end())
        return;
    it->second.holderNode = node;
    it->second.holderIncarnation = incarnation;
}

LedgerContent Ledger::give()
{
    m_given = true;
    LedgerContent content { .floor = m_floor };
    for (const auto& [id, entry] : m_entries)
        content.entries.push_back(entry);
    return content;
}

void Ledger::takeBack() { m_given = false; }

std::optional<LedgerEntry> Ledger::find(const std::string& requestId) const
{
    auto it = m_entries.find(requestId);
    if (it == m_entries.end())
        return std::nullopt;
    return it->second;
}

void Ledger::expire(std::uint64_t now)
{
    std::erase_if(m_entries, [&](const auto& it) {
        return it.second.outcome != RequestOutcome::Running && it.second.expiry + m_options.retention <= now;
    });
}

} // namespace Onyxnotch
