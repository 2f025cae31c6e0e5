#include "modules/request/ledger_book.h"

#include "core/digest.h"

namespace Onyxnotch {

namespace {

    constexpr unsigned ticketKeyBytes = 32;

    Error notAnswering() { return Error { ErrorCode::NotFound, "this node does not answer for the ticket's home" }; }

    Error otherTeam() { return Error { ErrorCode::Unauthorized, "the ticket is not this team's" }; }

} // namespace

LedgerBook::LedgerBook(const LedgerBookOptions& options)
    : m_options(options)
    , m_origin(steadyNow())
{
    auto issuer = std::make_unique<TicketIssuer>(options.node, options.incarnation, randomHex(ticketKeyBytes));
    m_books.emplace(Home { options.node, options.incarnation }, Book { .issuer = std::move(issuer), .ledger = Ledger(options.ledger) });
}

std::uint64_t LedgerBook::now() const
{
    return static_cast<std::uint64_t>(toMilliseconds(steadyNow() - m_origin).count());
}

const LedgerBook::Book* LedgerBook::findBook(const Ticket& ticket) const
{
    auto it = m_books.find({ ticket.node, ticket.incarnation });
    return it == m_books.end() ? nullptr : &it->second;
}

LedgerBook::Book* LedgerBook::findBook(const Ticket& ticket)
{
    auto it = m_books.find({ ticket.node, ticket.incarnation });
    return it == m_books.end() ? nullptr : &it->second;
}

LedgerBook::Book* LedgerBook::findBookOf(const std::string& requestId)
{
    auto ticket = parseTicket(requestId);
    return ticket ? findBook(ticket.value()) : nullptr;
}

Ticket LedgerBook::issue(const std::string& team)
{
    auto expiry = now() + static_cast<std::uint64_t>(m_options.ticketLifetime.count());
    std::lock_guard lock(m_mutex);
    return m_books.at({ m_options.node, m_options.incarnation }).issuer->issue(team, expiry);
}

bool LedgerBook::answersFor(const Ticket& ticket) const
{
    std::lock_guard lock(m_mutex);
    return findBook(ticket) != nullptr;
}

Result<LedgerDecision> LedgerBook::admit(const Ticket& ticket, const std::string& team)
{
    std::lock_guard lock(m_mutex);
    auto* book = findBook(ticket);
    if (!book)
        return notAnswering();
    if (!book->issuer->verify(ticket, team))
        return otherTeam();
    return book->ledger.admit(ticket, m_options.node, m_options.incarnation, now() + book->clockOffset);
}

bool LedgerBook::burn(const Ticket& ticket)
{
    std::lock_guard lock(m_mutex);
    auto* book = findBook(ticket);
    return book && book->ledger.burn(ticket, now() + book->clockOffset);
}

bool LedgerBook::finish(const std::string& requestId, RequestOutcome outcome, int httpStatus, const std::string& body)
{
    std::lock_guard lock(m_mutex);
    auto* book = findBookOf(requestId);
    bool first = book && book->ledger.finish(requestId, outcome, httpStatus, body);
    m_changed.notify_all();
    return first;
}

void LedgerBook::setHolder(const std::string& requestId, const std::string& node, std::uint64_t incarnation)
{
    std::lock_guard lock(m_mutex);
    if (auto* book = findBookOf(requestId))
        book->ledger.setHolder(requestId, node, incarnation);
}

std::optional<LedgerEntry> LedgerBook::find(const std::string& requestId) const
{
    std::lock_guard lock(m_mutex);
    auto ticket = parseTicket(requestId);
    const auto* book = ticket ? findBook(ticket.value()) : nullptr;
    return book ? book->ledger.find(requestId) : std::nullopt;
}

std::optional<LedgerEntry> LedgerBook::waitFinished(const std::string& requestId, Milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    std::optional<LedgerEntry> entry;
    m_changed.wait_for(lock, limit, [&] {
        auto* book = findBookOf(requestId);
        entry = book ? book->ledger.find(requestId) : std::nullopt;
        return !entry || entry->outcome != RequestOutcome::Running;
    });
    return entry;
}

Status LedgerBook::verify(const Ticket& ticket, const std::string& team) const
{
    std::lock_guard lock(m_mutex);
    const auto* book = findBook(ticket);
    if (!book)
        return notAnswering();
    if (!book->issuer->verify(ticket, team))
        return otherTeam();
    return success();
}

std::vector<LedgerOfferMessage> LedgerBook::giveAll(std::uint32_t generation)
{
    std::lock_guard lock(m_mutex);
    std::vector<LedgerOfferMessage> offers;
    for (auto& [home, book] : m_books) {
        offers.push_back({
            .giverNode = m_options.node,
            .giverIncarnation = m_options.incarnation,
            .homeNode = home.first,
            .homeIncarnation = home.second,
            .generation = generation,
            .ticketKey = book.issuer->key(),
            .giverNow = now() + book.clockOffset,
            .content = book.ledger.give(),
        });
    }
    return offers;
}

void LedgerBook::takeBackAll()
{
    std::lock_guard lock(m_mutex);
    for (auto& [home, book] : m_books)
        book.ledger.takeBack();
}

bool LedgerBook::given() const
{
    std::lock_guard lock(m_mutex);
    return m_books.at({ m_options.node, m_options.incarnation }).ledger.given();
}

Status LedgerBook::adopt(const LedgerOfferMessage& offer)
{
    std::lock_guard lock(m_mutex);
    Home home { offer.homeNode, offer.homeIncarnation };
    if (m_books.contains(home))
        return success();
    if (m_books.size() > m_options.maximumAdoptedLedgers)
        return Error { ErrorCode::Exhausted, "too many adopted ledgers" };
    // The sequence goes on after every ticket that the home can have issued; a successor issues none in its name.
    auto issuer = std::make_unique<TicketIssuer>(offer.homeNode, offer.homeIncarnation, offer.ticketKey);
    // Unsigned arithmetic wraps, so an offset below zero works too.
    m_books.emplace(home, Book { .issuer = std::move(issuer), .ledger = Ledger(m_options.ledger, offer.content), .clockOffset = offer.giverNow - now() });
    return success();
}

void LedgerBook::applyUpdate(const LedgerUpdateMessage& update)
{
    std::lock_guard lock(m_mutex);
    auto it = m_books.find({ update.homeNode, update.homeIncarnation });
    if (it == m_books.end())
        return;
    it->second.ledger.finish(update.entry.requestId, update.entry.outcome, update.entry.httpStatus, update.entry.body);
    m_changed.notify_all();
}

void LedgerBook::expire()
{
    std::lock_guard lock(m_mutex);
    for (auto& [home, book] : m_books)
        book.ledger.expire(now() + book.clockOffset);
}

std::size_t LedgerBook::entryCount() const
{
    std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto& [home, book] : m_books)
        count += book.ledger.size();
    return count;
}

} // namespace Onyxnotch
