#include "modules/request/ledger.h"

#include <algorithm>

namespace Onyxnotch {

Ledger::Ledger(const LedgerOptions& options)
    : m_options(options)
{
}

Ledger::Ledger(const LedgerOptions& options, const LedgerContent& content)
    : m_options(options)
    , m_refusedUpTo(content.refusedUpTo)
{
    for (const auto& it : content.entries)
        m_entries.emplace(it.requestId, it);
}

LedgerDecision Ledger::admit(const Ticket& ticket, const std::string& holderNode, std::uint64_t holderIncarnation, std::uint64_t now)
{
    auto id = ticket.text();
    // A transferred ledger still has its entries, but the node that received it may have newer outcomes.
    if (m_isTransferred)
        return { .verdict = LedgerVerdict::Given, .entry = find(id) };
    auto it = m_entries.find(id);
    if (it != m_entries.end()) {
        auto verdict = it->second.outcome == RequestOutcome::NotRun ? LedgerVerdict::Refused : LedgerVerdict::Known;
        return { .verdict = verdict, .entry = it->second };
    }
    // The entry of an expired ticket may already have been removed.
    if (ticket.expiry <= now)
        return { .verdict = LedgerVerdict::Expired, .entry = std::nullopt };
    if (ticket.sequence <= m_refusedUpTo)
        return { .verdict = LedgerVerdict::Refused, .entry = std::nullopt };
    if (m_entries.size() >= m_options.maximumEntries) {
        m_refusedUpTo = std::max(m_refusedUpTo, ticket.sequence);
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

bool Ledger::refuse(const Ticket& ticket, std::uint64_t now)
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

LedgerContent Ledger::startTransfer()
{
    m_isTransferred = true;
    LedgerContent content { .refusedUpTo = m_refusedUpTo };
    for (const auto& [id, entry] : m_entries)
        content.entries.push_back(entry);
    return content;
}

void Ledger::cancelTransfer() { m_isTransferred = false; }

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
