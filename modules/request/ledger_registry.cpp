#include "modules/request/ledger_registry.h"

#include "core/digest.h"

namespace Onyxnotch {

namespace {

    constexpr unsigned ticketKeyBytes = 32;

    Error ledgerNotHostedError() { return Error { ErrorCode::NotFound, "this node does not answer for the ticket's home" }; }

    Error otherTeamError() { return Error { ErrorCode::Unauthorized, "the ticket is not this team's" }; }

} // namespace

LedgerRegistry::LedgerRegistry(const LedgerRegistryOptions& options)
    : m_options(options)
    , m_origin(steadyNow())
{
    auto issuer = std::make_unique<TicketIssuer>(options.node, options.incarnation, randomHex(ticketKeyBytes));
    m_hostedLedgers.emplace(HomeIncarnation { options.node, options.incarnation }, HostedLedger { .issuer = std::move(issuer), .ledger = Ledger(options.ledger) });
}

std::uint64_t LedgerRegistry::now() const
{
    return static_cast<std::uint64_t>(toMilliseconds(steadyNow() - m_origin).count());
}

const LedgerRegistry::HostedLedger* LedgerRegistry::findLedger(const Ticket& ticket) const
{
    auto it = m_hostedLedgers.find({ ticket.node, ticket.incarnation });
    return it == m_hostedLedgers.end() ? nullptr : &it->second;
}

LedgerRegistry::HostedLedger* LedgerRegistry::findLedger(const Ticket& ticket)
{
    auto it = m_hostedLedgers.find({ ticket.node, ticket.incarnation });
    return it == m_hostedLedgers.end() ? nullptr : &it->second;
}

LedgerRegistry::HostedLedger* LedgerRegistry::findLedgerOfRequest(const std::string& requestId)
{
    auto ticket = parseTicket(requestId);
    return ticket ? findLedger(ticket.value()) : nullptr;
}

Ticket LedgerRegistry::issue(const std::string& team)
{
    auto expiry = now() + static_cast<std::uint64_t>(m_options.ticketLifetime.count());
    std::lock_guard lock(m_mutex);
    return m_hostedLedgers.at({ m_options.node, m_options.incarnation }).issuer->issue(team, expiry);
}

bool LedgerRegistry::hostsLedgerOf(const Ticket& ticket) const
{
    std::lock_guard lock(m_mutex);
    return findLedger(ticket) != nullptr;
}

Result<LedgerDecision> LedgerRegistry::admit(const Ticket& ticket, const std::string& team)
{
    std::lock_guard lock(m_mutex);
    auto* hosted = findLedger(ticket);
    if (!hosted)
        return ledgerNotHostedError();
    if (!hosted->issuer->verify(ticket, team))
        return otherTeamError();
    return hosted->ledger.admit(ticket, m_options.node, m_options.incarnation, now() + hosted->clockOffset);
}

bool LedgerRegistry::refuse(const Ticket& ticket)
{
    std::lock_guard lock(m_mutex);
    auto* hosted = findLedger(ticket);
    return hosted && hosted->ledger.refuse(ticket, now() + hosted->clockOffset);
}

bool LedgerRegistry::finish(const std::string& requestId, RequestOutcome outcome, int httpStatus, const std::string& body)
{
    std::lock_guard lock(m_mutex);
    auto* hosted = findLedgerOfRequest(requestId);
    bool isFinished = hosted && hosted->ledger.finish(requestId, outcome, httpStatus, body);
    m_changed.notify_all();
    return isFinished;
}

void LedgerRegistry::setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation)
{
    std::lock_guard lock(m_mutex);
    if (auto* hosted = findLedgerOfRequest(requestId))
        hosted->ledger.setHolder(requestId, node, incarnation);
}

std::optional<LedgerEntry> LedgerRegistry::find(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto ticket = parseTicket(requestId);
    const auto* hosted = ticket ? findLedger(ticket.value()) : nullptr;
    return hosted ? hosted->ledger.find(requestId) : std::nullopt;
}

std::optional<LedgerEntry> LedgerRegistry::waitFinished(const std::string& requestId, Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    std::optional<LedgerEntry> entry;
    m_changed.wait_for(lock, limit, [&] {
        auto* hosted = findLedgerOfRequest(requestId);
        entry = hosted ? hosted->ledger.find(requestId) : std::nullopt;
        return !entry || entry->outcome != RequestOutcome::Running;
    });
    return entry;
}

Status LedgerRegistry::verify(const Ticket& ticket, const std::string& team) const
{
    std::lock_guard lock(m_mutex);
    const auto* hosted = findLedger(ticket);
    if (!hosted)
        return ledgerNotHostedError();
    if (!hosted->issuer->verify(ticket, team))
        return otherTeamError();
    return success();
}

std::vector<LedgerOfferMessage> LedgerRegistry::startTransferAll(std::uint32_t generation)
{
    std::lock_guard lock(m_mutex);
    std::vector<LedgerOfferMessage> offers;
    for (auto& [home, hosted] : m_hostedLedgers) {
        offers.push_back({
            .senderNode = m_options.node,
            .senderIncarnation = m_options.incarnation,
            .homeNode = home.first,
            .homeIncarnation = home.second,
            .generation = generation,
            .ticketKey = hosted.issuer->key(),
            .ledgerTime = now() + hosted.clockOffset,
            .content = hosted.ledger.startTransfer(),
        });
    }
    return offers;
}

void LedgerRegistry::cancelTransferAll()
{
    std::lock_guard lock(m_mutex);
    for (auto& [home, hosted] : m_hostedLedgers)
        hosted.ledger.cancelTransfer();
}

bool LedgerRegistry::given() const
{
    std::lock_guard lock(m_mutex);
    return m_hostedLedgers.at({ m_options.node, m_options.incarnation }).ledger.isTransferred();
}

Status LedgerRegistry::adopt(const LedgerOfferMessage& offer)
{
    std::lock_guard lock(m_mutex);
    HomeIncarnation home { offer.homeNode, offer.homeIncarnation };
    if (m_hostedLedgers.contains(home))
        return success();
    if (m_hostedLedgers.size() > m_options.maximumAdoptedLedgers)
        return Error { ErrorCode::Exhausted, "too many adopted ledgers" };
    // This issuer only verifies tickets: a successor issues none in the name of another node.
    auto issuer = std::make_unique<TicketIssuer>(offer.homeNode, offer.homeIncarnation, offer.ticketKey);
    // The offset may be below zero: unsigned arithmetic wraps around, also when now() is added to the offset.
    m_hostedLedgers.emplace(home, HostedLedger { .issuer = std::move(issuer), .ledger = Ledger(m_options.ledger, offer.content), .clockOffset = offer.ledgerTime - now() });
    return success();
}

void LedgerRegistry::applyUpdate(const LedgerUpdateMessage& update)
{
    std::lock_guard lock(m_mutex);
    auto it = m_hostedLedgers.find({ update.homeNode, update.homeIncarnation });
    if (it == m_hostedLedgers.end())
        return;
    it->second.ledger.finish(update.entry.requestId, update.entry.outcome, update.entry.httpStatus, update.entry.body);
    m_changed.notify_all();
}

void LedgerRegistry::expire()
{
    std::lock_guard lock(m_mutex);
    for (auto& [home, hosted] : m_hostedLedgers)
        hosted.ledger.expire(now() + hosted.clockOffset);
}

std::size_t LedgerRegistry::entryCount() const
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [home, hosted] : m_hostedLedgers)
        count += hosted.ledger.size();
    return count;
}

} // namespace Onyxnotch
