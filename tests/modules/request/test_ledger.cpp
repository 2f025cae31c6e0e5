#include "modules/request/ledger.h"
#include "modules/request/ledger_book.h"
#include "tests/property.h"

using namespace Onyxnotch;

namespace {

Ticket ticketOf(std::uint64_t sequence, std::uint64_t expiry = 1000)
{
    return { .node = "home", .incarnation = 1, .sequence = sequence, .expiry = expiry, .code = "c" };
}

LedgerBook bookOf(const std::string& node, std::uint64_t incarnation = 1, std::size_t entries = 100)
{
    return LedgerBook({ .node = node, .incarnation = incarnation, .ledger = { .maximumEntries = entries } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledgers)

// Drives a ledger with random tickets, refusals, ends, expiry and a move to another node, and counts what runs.
BOOST_AUTO_TEST_CASE(no_ticket_runs_twice_and_none_runs_after_a_refusal)
{
    Tests::checkProperty("random events", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        LedgerOptions options { .maximumEntries = 6, .retention = 50 };
        Ledger ledger(options);
        std::map<std::string, unsigned> runs;
        std::map<std::string, bool> refused;
        std::uint64_t now = 0;
        for (const auto& [action, which] : events) {
            auto ticket = ticketOf(1 + which % 12, 40 + which % 12);
            auto id = ticket.text();
            switch (action % 5) {
            case 0:
            case 1: {
                auto verdict = ledger.admit(ticket, "home", 1, now).verdict;
                if (verdict == LedgerVerdict::Run)
                    ++runs[id];
                refused[id] = refused[id] || verdict == LedgerVerdict::Refused || verdict == LedgerVerdict::Full;
                break;
            }
            case 2:
                refused[id] = ledger.burn(ticket, now) || refused[id];
                break;
            case 3:
                ledger.finish(id, RequestOutcome::Completed);
                break;
            default:
                now += which % 16;
                ledger.expire(now);
                // The whole ledger moves to a successor; the giver admits nothing any more.
                if (which % 4 == 0) {
                    auto content = ledger.give();
                    RC_ASSERT(ledger.admit(ticket, "home", 1, now).verdict == LedgerVerdict::Given);
                    ledger = Ledger(options, content);
                }
            }
            RC_ASSERT(runs[id] <= 1);
            RC_ASSERT(runs[id] == 0 || !refused[id]);
            RC_ASSERT(ledger.size() <= options.maximumEntries);
        }
    });
}

BOOST_AUTO_TEST_CASE(a_full_ledger_refuses_for_good)
{
    Ledger ledger({ .maximumEntries = 1, .retention = 0 });
    BOOST_CHECK(ledger.admit(ticketOf(1), "home", 1, 0).verdict == LedgerVerdict::Run);
    BOOST_CHECK(ledger.admit(ticketOf(2), "home", 1, 0).verdict == LedgerVerdict::Full);
    ledger.finish(ticketOf(1).text(), RequestOutcome::Completed);
    ledger.expire(2000);
    // There is room again, but a late copy of what was refused still may not run.
    BOOST_CHECK(ledger.admit(ticketOf(2, 5000), "home", 1, 2000).verdict == LedgerVerdict::Refused);
    BOOST_CHECK(ledger.admit(ticketOf(3, 5000), "home", 1, 2000).verdict == LedgerVerdict::Run);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket_is_neither_run_nor_called_not_run)
{
    Ledger ledger;
    BOOST_CHECK(ledger.admit(ticketOf(1, 10), "home", 1, 10).verdict == LedgerVerdict::Expired);
    BOOST_CHECK(!ledger.burn(ticketOf(1, 10), 10));
}

BOOST_AUTO_TEST_CASE(running_entries_stay_whatever_the_time)
{
    Ledger ledger;
    ledger.admit(ticketOf(1, 10), "home", 1, 0);
    ledger.expire(1000000);
    BOOST_CHECK(ledger.admit(ticketOf(1, 10), "home", 1, 1000000).verdict == LedgerVerdict::Known);
}

BOOST_AUTO_TEST_CASE(a_ticket_is_bound_to_its_team_and_its_process)
{
    auto book = bookOf("home");
    auto ticket = book.issue("gate-clerks");
    auto other = book.admit(ticket, "shippers");
    BOOST_REQUIRE(!other);
    BOOST_CHECK(other.error().code == ErrorCode::Unauthorized);
    auto forged = ticket;
    forged.expiry += 1000000;
    BOOST_CHECK(!book.admit(forged, "gate-clerks"));
    // A new process at the old address knows nothing of the tickets before it.
    auto next = bookOf("home", 2);
    auto late = next.admit(ticket, "gate-clerks");
    BOOST_REQUIRE(!late);
    BOOST_CHECK(late.error().code == ErrorCode::NotFound);
    BOOST_CHECK(book.admit(ticket, "gate-clerks").value().verdict == LedgerVerdict::Run);
}

BOOST_AUTO_TEST_CASE(a_successor_answers_for_the_tickets_of_the_giver)
{
    auto giver = bookOf("giver");
    auto successor = bookOf("successor");
    auto used = giver.issue("team");
    auto unused = giver.issue("team");
    BOOST_CHECK(giver.admit(used, "team").value().verdict == LedgerVerdict::Run);
    auto offers = giver.giveAll(1);
    BOOST_REQUIRE_EQUAL(offers.size(), 1);
    BOOST_CHECK(giver.admit(unused, "team").value().verdict == LedgerVerdict::Given);
    BOOST_CHECK(successor.adopt(offers[0]).has_value());
    // A repeated offer changes nothing.
    BOOST_CHECK(successor.adopt(offers[0]).has_value());
    BOOST_CHECK(successor.admit(used, "team").value().verdict == LedgerVerdict::Known);
    BOOST_CHECK(successor.admit(unused, "team").value().verdict == LedgerVerdict::Run);
    BOOST_CHECK(successor.admit(unused, "team").value().verdict == LedgerVerdict::Known);
}

BOOST_AUTO_TEST_CASE(adopted_ledgers_are_bounded)
{
    LedgerBook successor({ .node = "successor", .incarnation = 1, .maximumAdoptedLedgers = 1 });
    auto first = bookOf("first");
    auto second = bookOf("second");
    BOOST_CHECK(successor.adopt(first.giveAll(1)[0]).has_value());
    auto refused = successor.adopt(second.giveAll(1)[0]);
    BOOST_REQUIRE(!refused);
    BOOST_CHECK(refused.error().code == ErrorCode::Exhausted);
}

BOOST_AUTO_TEST_CASE(texts_that_are_no_tickets_are_refused)
{
    for (const auto* text : { "", "~~~~", "a~b~c~d~e", "a~1~2~3", "a~1~2~3~4~5", "a~1~2~99999999999999999999999~x" })
        BOOST_CHECK(!parseTicket(text));
    BOOST_CHECK(!parseTicket(std::string(100000, 'a')));
    auto ticket = ticketOf(5);
    BOOST_CHECK(parseTicket(ticket.text()).value() == ticket);
}

BOOST_AUTO_TEST_SUITE_END()
