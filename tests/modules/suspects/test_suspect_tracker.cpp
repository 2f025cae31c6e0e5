// Tests which requests are blocked after endpoints end, by simulations of many nodes and by single steps. The simulations repeat with the
// number of seeds in the environment variable ONYXNOTCH_SEEDS, or else a default for each test.
#include "tests/modules/suspects/suspect_simulation.h"
#include <boost/test/unit_test.hpp>
#include <iostream>

using namespace Onyxnotch;
using namespace Onyxnotch::Tests;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
constexpr RequestDigest request { .team = 7, .content = 70 };
constexpr RequestDigest other { .team = 7, .content = 71 };

// Ends an endpoint incarnation while the request runs there.
void endLife(SuspectTracker& book, std::uint64_t life, SteadyTime now, const RequestDigest& digest = request)
{
    book.onSent(digest, life);
    book.onLost(digest, life, now);
}

void blockRequest(SuspectTracker& book, SteadyTime now, const RequestDigest& digest = request)
{
    for (std::uint64_t life = 1; life <= 3; ++life)
        endLife(book, life + digest.content * 100, now, digest);
}

struct Totals {
    unsigned runs { 0 };
    unsigned endedByGuilty { 0 };
    unsigned mostEnded { 0 };
    unsigned mostSentLate { 0 };
    unsigned popularReceived { 0 };
    unsigned popularRefused { 0 };
    unsigned popularBlocked { 0 };
    unsigned uniqueReceived { 0 };
    unsigned uniqueRefused { 0 };
    unsigned uniqueBlocked { 0 };
    Milliseconds longestUntilBlocked { 0 };
    unsigned neverBlocked { 0 };
};

Totals simulate(SuspectSimulationOptions options, unsigned seeds)
{
    Totals totals;
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        SuspectSimulation one(options);
        ++totals.runs;
        totals.endedByGuilty += one.endedByGuilty;
        totals.mostEnded = std::max(totals.mostEnded, one.endedByGuilty);
        totals.mostSentLate = std::max(totals.mostSentLate, one.guiltySentLate);
        totals.popularReceived += one.popularReceived;
        totals.popularRefused += one.popularRefused;
        totals.popularBlocked += one.popularBlocked;
        totals.uniqueReceived += one.uniqueReceived;
        totals.uniqueRefused += one.uniqueRefused;
        totals.uniqueBlocked += one.uniqueBlocked;
        if (one.thirdEndedAt != SteadyTime {}) {
            if (one.blockedEverywhereAt == SteadyTime {})
                ++totals.neverBlocked;
            else
                totals.longestUntilBlocked = std::max(totals.longestUntilBlocked, toMilliseconds(one.blockedEverywhereAt - one.thirdEndedAt));
        }
    }
    std::cout << "runs " << totals.runs << ", ended by the guilty " << totals.endedByGuilty << " (at most " << totals.mostEnded << "), sent late at most " << totals.mostSentLate
              << ", popular refused " << totals.popularRefused << " of " << totals.popularReceived << ", unique refused " << totals.uniqueRefused << " (blocked " << totals.uniqueBlocked << ") of "
              << totals.uniqueReceived << ", known everywhere after " << totals.longestUntilBlocked.count() << " ms at the latest, never " << totals.neverBlocked << std::endl;
    return totals;
}

unsigned seedCountOr(unsigned defaultCount)
{
    const char* text = std::getenv("ONYXNOTCH_SEEDS");
    return text ? static_cast<unsigned>(std::stoul(text)) : defaultCount;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Suspects)

BOOST_AUTO_TEST_CASE(three_ended_incarnations_block_and_two_do_not)
{
    SuspectTracker book;
    endLife(book, 1, start);
    BOOST_TEST(book.maySend(request, start));
    BOOST_TEST(book.isRetryAllowed(request, start));
    endLife(book, 2, start);
    BOOST_TEST(book.maySend(request, start));
    BOOST_TEST(!book.isRetryAllowed(request, start)); // No second endpoint within one attempt of its client.
    endLife(book, 2, start); // The same incarnation does not count twice.
    BOOST_TEST(book.maySend(request, start));
    endLife(book, 3, start);
    BOOST_TEST(!book.maySend(request, start));
    BOOST_TEST(book.maySend(other, start));
    BOOST_TEST(book.remainingBlockTime(request, start).count() >= SuspectOptions {}.blockedFor.count());
    BOOST_TEST(book.takeNewlyBlocked().size() == 1U);
}

BOOST_AUTO_TEST_CASE(suspected_request_runs_one_copy_at_a_time)
{
    SuspectTracker book;
    endLife(book, 1, start);
    endLife(book, 2, start);
    book.onSent(request, 3);
    BOOST_TEST(!book.maySend(request, start));
    book.onEnded(request, 3);
    BOOST_TEST(book.maySend(request, start));
}

// Guards against a repeated report of an end that removes the entry of another running copy.
BOOST_AUTO_TEST_CASE(repeated_end_counts_once)
{
    SuspectTracker book;
    endLife(book, 1, start);
    book.onSent(request, 2);
    book.onSent(request, 3);
    book.onLost(request, 2, start);
    book.onEnded(request, 2);
    BOOST_TEST(!book.maySend(request, start));
    book.onEnded(request, 3);
    BOOST_TEST(book.maySend(request, start));
}

BOOST_AUTO_TEST_CASE(good_answer_clears_and_protects_for_its_validity)
{
    SuspectTracker book;
    blockRequest(book, start);
    BOOST_TEST(!book.maySend(request, start));
    // An answer to a copy sent before the last end doesn't clear the request.
    book.onSent(request, 9);
    book.onAnswered(request, 9, start - Milliseconds(1), start);
    BOOST_TEST(!book.maySend(request, start));
    book.onSent(request, 9);
    book.onAnswered(request, 9, start, start);
    BOOST_TEST(book.maySend(request, start));
    BOOST_TEST(book.takeNewlyCleared().size() == 1U);
    blockRequest(book, start + Milliseconds(1000));
    BOOST_TEST(book.maySend(request, start + Milliseconds(1000)));
    blockRequest(book, start + SuspectOptions {}.goodAnswerValidity);
    BOOST_TEST(!book.maySend(request, start + SuspectOptions {}.goodAnswerValidity));
}

BOOST_AUTO_TEST_CASE(reports_of_nodes_add_up_and_good_answer_overrides_them)
{
    SuspectTracker first;
    SuspectTracker second;
    SuspectTracker third;
    third.onSent(request, 9);
    third.onAnswered(request, 9, start, start);
    endLife(first, 1, start);
    endLife(first, 2, start);
    endLife(second, 3, start);
    second.onPeerUpdate(first.news(start), start);
    BOOST_TEST(!second.maySend(request, start));
    third.onPeerUpdate(second.news(start), start);
    BOOST_TEST(third.maySend(request, start));
    second.onPeerUpdate(third.news(start), start);
    BOOST_TEST(second.maySend(request, start));
    // A node that doesn't know that the request was cleared repeats its old reports.
    second.onPeerUpdate(first.news(start), start);
    BOOST_TEST(second.maySend(request, start));
}

BOOST_AUTO_TEST_CASE(abandoned_request_is_suspected_if_its_endpoint_ends_soon)
{
    SuspectTracker book;
    book.onSent(request, 1);
    book.onLeft(request, 1, start);
    endLife(book, 1, start + Milliseconds(1000), other);
    BOOST_TEST(book.endedIncarnations(request) == 1U);
    // After `abandonedBlamePeriod`, the abandoned request is no longer suspected.
    book.onSent(request, 2);
    book.onLeft(request, 2, start);
    endLife(book, 2, start + SuspectOptions {}.abandonedBlamePeriod + Milliseconds(1), other);
    BOOST_TEST(book.endedIncarnations(request) == 1U);
    // The removal of a silent endpoint is detected only after some heartbeats.
    book.onSent(request, 3);
    book.onLeft(request, 3, start);
    book.onIncarnationRemoved(3, start + Milliseconds(3600));
    BOOST_TEST(book.endedIncarnations(request) == 2U);
    // A copy that runs at a removed incarnation may still be answered; it counts only if it is abandoned there.
    book.onSent(request, 4);
    book.onIncarnationRemoved(4, start + Milliseconds(3600));
    BOOST_TEST(book.endedIncarnations(request) == 2U);
    book.onLeft(request, 4, start + Milliseconds(5000));
    BOOST_TEST(book.endedIncarnations(request) == 3U);
    BOOST_TEST(!book.maySend(request, start + Milliseconds(5000)));
}

BOOST_AUTO_TEST_CASE(nodes_try_one_after_the_other_and_failed_trial_extends_block)
{
    SuspectTracker first({ .node = "a" });
    SuspectTracker second({ .node = "b" });
    blockRequest(first, start);
    second.onPeerUpdate(first.news(start), start);
    auto firstTrial = start + first.remainingBlockTime(request, start);
    auto secondTrial = start + second.remainingBlockTime(request, start);
    BOOST_TEST((firstTrial != secondTrial));
    BOOST_TEST(first.maySend(request, firstTrial));
    endLife(first, 99, firstTrial);
    BOOST_TEST(!first.maySend(request, firstTrial));
    BOOST_TEST(first.remainingBlockTime(request, firstTrial).count() >= 2 * SuspectOptions {}.blockedFor.count());
    second.onPeerUpdate(first.news(firstTrial), firstTrial);
    BOOST_TEST(second.remainingBlockTime(request, firstTrial).count() >= 2 * SuspectOptions {}.blockedFor.count());
}

BOOST_AUTO_TEST_CASE(team_with_many_blocked_requests_evicts_its_own)
{
    SuspectTracker book({ .mostBlocked = 64 });
    blockRequest(book, start, other);
    for (std::uint64_t n = 0; n < 500; ++n)
        blockRequest(book, start + Milliseconds(n), { .team = 9, .content = 1000 + n });
    BOOST_TEST(book.blockedRequests() <= 64U);
    BOOST_TEST(!book.maySend(other, start));
    BOOST_TEST(!book.maySend({ .team = 9, .content = 1499 }, start + Milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(message_reports_requests_with_several_ends_first)
{
    SuspectUpdate news;
    for (std::uint64_t n = 0; n < 500; ++n)
        news.reports.push_back({ .request = { .team = 1, .content = n }, .life = n });
    for (std::uint64_t n = 0; n < 2; ++n)
        news.reports.push_back({ .request = { .team = 2, .content = 9 }, .life = n });
    truncateUpdate(news);
    BOOST_TEST(news.reports.size() == SuspectUpdateLimits {}.reports);
    BOOST_TEST(news.reports.front().request.team == 2U);
}

// No other request is blocked, and few endpoints are lost: at least three, and those that end while reports are being sent.
BOOST_AUTO_TEST_CASE(guilty_request_ends_few_endpoints)
{
    auto totals = simulate({ .guiltyPerSecond = 5 }, seedCountOr(200));
    BOOST_TEST(totals.mostSentLate == 0U);
    BOOST_TEST(totals.neverBlocked == 0U);
    BOOST_TEST(totals.longestUntilBlocked.count() <= 1000);
    BOOST_TEST(totals.endedByGuilty <= 5 * totals.runs);
    BOOST_TEST(totals.popularBlocked == 0U);
    BOOST_TEST(totals.popularRefused == 0U);
    BOOST_TEST(totals.uniqueBlocked == 0U);
}

// While no node has seen any answer, a popular request may be suspected until its first copy is answered: 17 of 23,550 were refused in
// 200 runs.
BOOST_AUTO_TEST_CASE(guilty_request_right_after_start_of_all_nodes)
{
    auto totals = simulate({ .guiltyPerSecond = 5, .endsFrom = Milliseconds(1) }, seedCountOr(200));
    BOOST_TEST(totals.mostSentLate == 0U);
    BOOST_TEST(totals.endedByGuilty <= 5 * totals.runs);
    BOOST_TEST(totals.popularRefused * 500 <= totals.popularReceived);
    BOOST_TEST(totals.uniqueBlocked == 0U);
}

// In a large fleet, relay nodes forward reports: they arrive up to 0.8 s later, and findings aren't sent immediately.
BOOST_AUTO_TEST_CASE(guilty_request_in_large_fleet)
{
    auto totals = simulate({ .nodes = 60, .endpoints = 200, .duration = Milliseconds(10000), .guiltyPerSecond = 20, .relayDelay = Milliseconds(600), .sendsNotices = false }, seedCountOr(10));
    BOOST_TEST(totals.mostSentLate == 0U);
    BOOST_TEST(totals.neverBlocked == 0U);
    BOOST_TEST(totals.longestUntilBlocked.count() <= 2000);
    BOOST_TEST(totals.uniqueBlocked == 0U);
}

BOOST_AUTO_TEST_CASE(rarely_sent_guilty_request_stays_suspected)
{
    auto totals = simulate({ .duration = Milliseconds(200000), .requestsPerSecond = 2, .guiltyPerSecond = 0.1 }, seedCountOr(20));
    BOOST_TEST(totals.mostEnded <= 4U);
}

// A zone fails at once, and endpoints end for other reasons: a popular request isn't blamed for it.
BOOST_AUTO_TEST_CASE(ends_for_other_reasons_block_no_request)
{
    auto totals = simulate({ .endsPerSecond = 1, .zoneEndsAt = Milliseconds(10000) }, seedCountOr(200));
    BOOST_TEST(totals.popularRefused * 500 <= totals.popularReceived);
    BOOST_TEST(totals.uniqueBlocked * 1000 <= totals.uniqueReceived);
}

// The removal of the endpoints of a lost zone is detected one after the other, and the popular request ran at each of them.
BOOST_AUTO_TEST_CASE(gradual_zone_loss_blocks_no_request)
{
    auto totals = simulate({ .endpoints = 60, .duration = Milliseconds(20000), .requestsPerSecond = 80, .popularShare = 0.5, .zoneEndsAt = Milliseconds(10000), .zoneEndDuration = Milliseconds(1500) }, seedCountOr(50));
    BOOST_TEST(totals.popularRefused * 500 <= totals.popularReceived);
    BOOST_TEST(totals.uniqueBlocked * 1000 <= totals.uniqueReceived);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against blocking too late a request that turns bad: a popular request that had been answered well began to end endpoints, and
// was sent to up to 34 more of them later than three seconds after the third end. The cause: good answers to copies sent before the turn
// made it known good, also on nodes that received a report of them, and ends under a known good request weren't counted. At each of those
// ends some node objected because of an answer to a copy sent before the first end.
BOOST_AUTO_TEST_SUITE(SuspectsThatTurn)

BOOST_AUTO_TEST_CASE(popular_request_that_turns_guilty)
{
    auto totals = simulate({ .popularTurnsGuilty = true }, seedCountOr(200));
    BOOST_TEST(totals.neverBlocked == 0U);
    BOOST_TEST(totals.uniqueBlocked == 0U);
    BOOST_TEST(totals.mostSentLate <= 3U);
}

// Good answers to copies sent after the turn count in favour of the request. It is still blocked, but later.
BOOST_AUTO_TEST_CASE(popular_request_that_turns_guilty_while_older_copies_run_well)
{
    auto totals = simulate({ .popularTurnsGuilty = true, .repeatsRunWell = true }, seedCountOr(200));
    BOOST_TEST(totals.neverBlocked == 0U);
    BOOST_TEST(totals.uniqueBlocked == 0U);
}

BOOST_AUTO_TEST_CASE(ends_in_one_zone_within_a_moment_count_once)
{
    SuspectTracker book;
    book.onSent(request, 99);
    book.onAnswered(request, 99, start, start);
    for (std::uint64_t life = 1; life <= 20; ++life) {
        book.onSent(request, life, 1);
        book.onLost(request, life, start + Milliseconds(20 * life));
    }
    BOOST_TEST(book.maySend(request, start + Milliseconds(400)));
    for (std::uint16_t zone = 2; zone <= 6; ++zone) {
        BOOST_TEST(book.maySend(request, start + Milliseconds(400)));
        book.onSent(request, 100U + zone, zone);
        book.onLost(request, 100U + zone, start + Milliseconds(400));
    }
    BOOST_TEST(!book.maySend(request, start + Milliseconds(400)));
}

// An answer to a copy sent before an end doesn't clear that end. An answer to a copy sent after it does, also on nodes that receive a
// report of it.
BOOST_AUTO_TEST_CASE(good_answer_clears_ends_before_it_was_sent)
{
    SuspectTracker book;
    SuspectTracker receiver;
    book.onSent(request, 99);
    book.onAnswered(request, 99, start, start);
    auto end = [&](std::uint64_t life, Milliseconds at) {
        book.onSent(request, life, static_cast<std::uint16_t>(life));
        book.onLost(request, life, start + at);
        receiver.onPeerUpdate(book.news(start + at), start + at);
    };
    for (std::uint64_t life = 1; life <= 5; ++life)
        end(life, Milliseconds(100 * life));
    book.onSent(request, 98);
    book.onAnswered(request, 98, start + Milliseconds(50), start + Milliseconds(600));
    end(6, Milliseconds(700));
    BOOST_TEST(!book.maySend(request, start + Milliseconds(700)));
    BOOST_TEST(!receiver.maySend(request, start + Milliseconds(700)));
    // One good answer removes two of the six ends, and the request stays blocked until none is left.
    for (int n = 0; n < 3; ++n) {
        BOOST_TEST(!book.maySend(request, start + Milliseconds(900 + n)));
        book.onSent(request, 97);
        book.onAnswered(request, 97, start + Milliseconds(800 + n), start + Milliseconds(900 + n));
    }
    BOOST_TEST(book.maySend(request, start + Milliseconds(910)));
}

// Guards against a block that a successful trial doesn't lift: a request was blocked for three incarnations in three zones. A good answer
// to a trial removed only two of the three ends, and no other copies were sent that could remove the last.
BOOST_AUTO_TEST_CASE(good_answer_on_trial_clears_everything)
{
    SuspectTracker book({ .blockedFor = Milliseconds(10000) });
    SuspectTracker receiver({ .blockedFor = Milliseconds(10000) });
    for (std::uint64_t life = 1; life <= 3; ++life) {
        book.onSent(request, life, static_cast<std::uint16_t>(life));
        book.onLost(request, life, start + Milliseconds(10 * life));
    }
    receiver.onPeerUpdate(book.news(start + Milliseconds(40)), start + Milliseconds(40));
    auto trial = start + Milliseconds(40) + book.remainingBlockTime(request, start + Milliseconds(40));
    BOOST_REQUIRE(book.maySend(request, trial));
    book.onSent(request, 9, 1);
    book.onAnswered(request, 9, trial, trial + Milliseconds(100));
    BOOST_CHECK(book.verdict(request, trial + Milliseconds(100)) == SuspectVerdict::Free);
    BOOST_TEST(book.takeNewlyCleared().size() == 1U);
    receiver.onPeerUpdate(book.news(trial + Milliseconds(100)), trial + Milliseconds(110));
    BOOST_CHECK(receiver.verdict(request, trial + Milliseconds(110)) == SuspectVerdict::Free);
}

// Three ends of a request that one node found are reported to a node that saw the request answered shortly before.
BOOST_AUTO_TEST_CASE(known_good_report_lifts_block_of_three_ends)
{
    SuspectTracker reporter;
    SuspectTracker witness;
    witness.onSent(request, 99);
    witness.onAnswered(request, 99, start, start);
    blockRequest(reporter, start + Milliseconds(100));
    BOOST_TEST(!reporter.maySend(request, start + Milliseconds(100)));
    witness.onPeerUpdate(reporter.news(start + Milliseconds(100)), start + Milliseconds(100));
    BOOST_TEST(witness.maySend(request, start + Milliseconds(100)));
    reporter.onPeerUpdate(witness.news(start + Milliseconds(110)), start + Milliseconds(110));
    BOOST_TEST(reporter.maySend(request, start + Milliseconds(110)));
    BOOST_TEST(reporter.takeNewlyCleared().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
