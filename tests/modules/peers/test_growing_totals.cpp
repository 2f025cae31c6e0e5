#include "modules/peers/growing_totals.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;
using std::chrono::seconds;

namespace {

const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

double total(const MergedTotals& totals) { return totals.totals().at("t"); }

} // namespace

BOOST_AUTO_TEST_SUITE(MergedTotalsTests)

BOOST_AUTO_TEST_CASE(the_source_that_is_ahead_counts)
{
    MergedTotals totals;
    totals.update("a", 1, false, { { "t", 100 } }, at(0));
    totals.update("b", 1, false, { { "t", 500 } }, at(0));
    totals.update("a", 1, false, { { "t", 130 } }, at(250));
    totals.update("b", 1, false, { { "t", 510 } }, at(250));
    BOOST_TEST(total(totals) == 30);
}

// The growth that a source reported was ignored until it caught up with one that had failed, so that teams exceeded their limits.
BOOST_AUTO_TEST_CASE(a_source_that_is_behind_counts_when_the_one_ahead_has_failed)
{
    MergedTotals totals;
    totals.update("ahead", 1, false, { { "t", 0 } }, at(0));
    totals.update("behind", 1, false, { { "t", 0 } }, at(0));
    for (int n = 1; n <= 20; ++n) {
        totals.update("ahead", 1, false, { { "t", 100 * n } }, at(250 * n));
        totals.update("behind", 1, false, { { "t", 10 * n } }, at(250 * n));
    }
    BOOST_TEST(total(totals) == 2000);
    for (int n = 21; n <= 40; ++n)
        totals.update("behind", 1, false, { { "t", 100 * n } }, at(250 * n));
    BOOST_TEST(total(totals) > 3400);
    BOOST_TEST(total(totals) < 4300);
}

// What was reported only to sources that failed at the same time was admitted a second time.
BOOST_AUTO_TEST_CASE(reports_that_were_lost_with_all_sources_are_estimated)
{
    MergedTotals totals;
    for (int n = 0; n <= 20; ++n)
        totals.update("a", 1, false, { { "t", 100 * n } }, at(250 * n));
    // 400 a second for the two seconds until the replacement reports.
    totals.update("b", 1, false, { { "t", 0 } }, at(7000));
    BOOST_TEST(total(totals) > 2000 + 600);
    BOOST_TEST(total(totals) < 2000 + 1000);
}

// Guards against refusals after a node was cut off: the source that it receives again has missed nothing.
BOOST_AUTO_TEST_CASE(nothing_is_estimated_when_the_same_source_is_received_again)
{
    MergedTotals totals;
    for (int n = 0; n <= 20; ++n)
        totals.update("a", 1, false, { { "t", 100 * n } }, at(250 * n));
    totals.update("a", 1, false, { { "t", 2100 } }, at(15000));
    BOOST_TEST(total(totals) == 2100);
}

BOOST_AUTO_TEST_SUITE_END()
