#include "modules/request/ledger.h"
#include "modules/request/ledger_registry.h"
#include "tests/property.h"

using namespace Onyxnotch;

namespace {

Ticket makeTicket(std::uint64_t sequence, std::uint64_t expiry = 1000)
{
    return { .node = "home", .incarnation = 1, .sequence = sequence, .expiry = expiry, .mac = "c" };
}

LedgerRegistry makeLedgerBook(const std::string& node, std::uint64_t incarnation = 1, std::size_t entries = 100)
{
    return LedgerRegistry({ .node = node, .incarnation = incarnation, .ledger = { .maximumEntries = entries } });
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledgers)

// Applies random admissions, refusals, completions, expiry and transfers to another node to a ledger, and counts how often each ticket
// runs.
BOOST_AUTO_TEST_CASE(no_ticket_runs_twice_and_none_runs_after_a_refusal)
{
    Tests::checkProperty("random events", [](const std::vector<std::pair<unsigned char, unsigned char>>& events) {
        LedgerOptions options { .maximumEntries = 6, .retention = 50 };
        Ledger ledger(options);
        std::map<std::string, unsigned> runs;
        std::map<std::string, bool> refused;
        std::uint64_t now = 0;
        for (const auto& [action, draw] : events) {
            auto ticket = makeTicket(1 + draw % 12, 40 + draw % 12);
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
                refused[id] = ledger.refuse(ticket, now) || refused[id];
                break;
            case 3:
                ledger.finish(id, RequestOutcome::Completed);
                break;
            default:
                now += draw % 16;
                ledger.expire(now);
                // The ledger is transferred to a successor; the sender must not admit tickets any more.
                if (draw % 4 == 0) {
                    auto content = ledger.startTransfer();
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
    BOOST_CHECK(ledger.admit(makeTicket(1), "home", 1, 0).verdict == LedgerVerdict::Run);
    BOOST_CHECK(ledger.admit(makeTicket(2), "home", 1, 0).verdict == LedgerVerdict::Full);
    ledger.finish(makeTicket(1).text(), RequestOutcome::Completed);
    ledger.expire(2000);
    // There is room again, but a late copy of the refused request must still not run.
    BOOST_CHECK(ledger.admit(makeTicket(2, 5000), "home", 1, 2000).verdict == LedgerVerdict::Refused);
    BOOST_CHECK(ledger.admit(makeTicket(3, 5000), "home", 1, 2000).verdict == LedgerVerdict::Run);
}

BOOST_AUTO_TEST_CASE(an_expired_ticket_is_not_run_and_not_reported_as_not_run)
{
    Ledger ledger;
    BOOST_CHECK(ledger.admit(makeTicket(1, 10), "home", 1, 10).verdict == LedgerVerdict::Expired);
    BOOST_CHECK(!ledger.refuse(makeTicket(1, 10), 10));
}

BOOST_AUTO_TEST_CASE(running_entries_never_expire)
{
    Ledger ledger;
    ledger.admit(makeTicket(1, 10), "home", 1, 0);
    ledger.expire(1000000);
    BOOST_CHECK(ledger.admit(makeTicket(1, 10), "home", 1, 1000000).verdict == LedgerVerdict::Known);
}

BOOST_AUTO_TEST_CASE(a_ticket_is_bound_to_its_team_and_its_process)
{
    auto home = makeLedgerBook("home");
    auto ticket = home.issue("gate-clerks");
    auto decisionForOtherTeam = home.admit(ticket, "shippers");
    BOOST_REQUIRE(!decisionForOtherTeam);
    BOOST_CHECK(decisionForOtherTeam.error().code == ErrorCode::Unauthorized);
    auto forged = ticket;
    forged.expiry += 1000000;
    BOOST_CHECK(!home.admit(forged, "gate-clerks"));
    // A new incarnation of the same node does not host the ledger of the previous one.
    auto nextIncarnation = makeLedgerBook("home", 2);
    auto decisionOfNextIncarnation = nextIncarnation.admit(ticket, "gate-clerks");
    BOOST_REQUIRE(!decisionOfNextIncarnation);
    BOOST_CHECK(decisionOfNextIncarnation.error().code == ErrorCode::NotFound);
    BOOST_CHECK(home.admit(ticket, "gate-clerks").value().verdict == LedgerVerdict::Run);
}

BOOST_AUTO_TEST_CASE(a_successor_answers_for_the_tickets_of_the_giver)
{
    auto sender = makeLedgerBook("giver");
    auto successor = makeLedgerBook("successor");
    auto used = sender.issue("team");
    auto unused = sender.issue("team");
    BOOST_CHECK(sender.admit(used, "team").value().verdict == LedgerVerdict::Run);
    auto offers = sender.startTransferAll(1);
    BOOST_REQUIRE_EQUAL(offers.size(), 1);
    BOOST_CHECK(sender.admit(unused, "team").value().verdict == LedgerVerdict::Given);
    BOOST_CHECK(successor.adopt(offers[0]).has_value());
    // Adopting the same ledger again changes nothing.
    BOOST_CHECK(successor.adopt(offers[0]).has_value());
    BOOST_CHECK(successor.admit(used, "team").value().verdict == LedgerVerdict::Known);
    BOOST_CHECK(successor.admit(unused, "team").value().verdict == LedgerVerdict::Run);
    BOOST_CHECK(successor.admit(unused, "team").value().verdict == LedgerVerdict::Known);
}

BOOST_AUTO_TEST_CASE(adopted_ledgers_are_bounded)
{
    LedgerRegistry successor({ .node = "successor", .incarnation = 1, .maximumAdoptedLedgers = 1 });
    auto first = makeLedgerBook("first");
    auto second = makeLedgerBook("second");
    BOOST_CHECK(successor.adopt(first.startTransferAll(1)[0]).has_value());
    auto refused = successor.adopt(second.startTransferAll(1)[0]);
    BOOST_REQUIRE(!refused);
    BOOST_CHECK(refused.error().code == ErrorCode::Exhausted);
}

BOOST_AUTO_TEST_CASE(malformed_tickets_are_rejected)
{
    for (const auto* text : { "", "~~~~", "a~b~c~d~e", "a~1~2~3", "a~1~2~3~4~5", "a~1~2~99999999999999999999999~x" })
        BOOST_CHECK(!parseTicket(text));
    BOOST_CHECK(!parseTicket(std::string(100000, 'a')));
    auto ticket = makeTicket(5);
    BOOST_CHECK(parseTicket(ticket.text()).value() == ticket);
}

BOOST_AUTO_TEST_SUITE_END()
