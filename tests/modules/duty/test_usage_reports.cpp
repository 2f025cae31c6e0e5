#include "modules/duty/usage_reports.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(UsageReportsTests)

BOOST_AUTO_TEST_CASE(a_window_is_due_when_its_counts_have_settled)
{
    UsageReports reports({ .windowMilliseconds = 5000, .settleMilliseconds = 1000 });
    WindowCounts usage { { 3, { { "t", 4 } } } };
    BOOST_TEST(!reports.nextDue(usage, 20999).has_value());
    BOOST_TEST((reports.nextDue(usage, 21000) == UsageReport { .window = 3, .counts = { { "t", 4 } } }));
}

// Guards against reports with incomplete counts: in a fleet of 77 nodes, a new holder reported in its first second the counts that a third
// of the nodes had sent.
BOOST_AUTO_TEST_CASE(a_new_holder_waits_for_the_counts_but_is_not_late)
{
    UsageReports reports({ .windowMilliseconds = 5000, .settleMilliseconds = 1000, .gatherMilliseconds = 4000, .dueMilliseconds = 10000, .dueMarginMilliseconds = 1000 });
    WindowCounts usage { { 3, { { "t", 4 } } } };
    // The duties are acquired two seconds after the window's end.
    reports.restore(std::nullopt, 22000);
    BOOST_TEST(!reports.nextDue(usage, 25999).has_value());
    BOOST_TEST(reports.nextDue(usage, 26000).has_value());
    // The duties are acquired seven seconds after the window's end, too late to wait for the counts of all nodes.
    reports.restore(std::nullopt, 27000);
    BOOST_TEST(!reports.nextDue(usage, 28999).has_value());
    BOOST_TEST(reports.nextDue(usage, 29000).has_value());
}

BOOST_AUTO_TEST_CASE(a_decided_report_is_sent_before_the_next_is_decided)
{
    UsageReports reports;
    WindowCounts usage { { 3, { { "t", 4 } } }, { 4, { { "t", 5 } } } };
    auto first = reports.nextDue(usage, 1000000);
    BOOST_REQUIRE(first.has_value());
    reports.markDecided(*first);
    BOOST_TEST(!reports.nextDue(usage, 1000000).has_value());
    BOOST_TEST((reports.pendingReport() == first));
    reports.markSent();
    BOOST_TEST(reports.nextDue(usage, 1000000)->window == 4U);
}

BOOST_AUTO_TEST_CASE(a_successor_resends_the_stored_report_unchanged)
{
    UsageReports reports;
    reports.restore(UsageReport { .window = 3, .counts = { { "t", 4 } } }, 0);
    // This node has received different counts for window 3 in the meantime.
    WindowCounts usage { { 3, { { "t", 9 } } }, { 4, { { "t", 5 } } } };
    BOOST_TEST(reports.pendingReport()->counts.at("t") == 4U);
    reports.markSent();
    BOOST_TEST(reports.nextDue(usage, 1000000)->window == 4U);
}

BOOST_AUTO_TEST_CASE(a_report_round_trips_through_json)
{
    UsageReport report { .window = 7, .counts = { { "a", 1 }, { "b", 2 } } };
    auto read = usageReportFromJson(usageReportToJson(report));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value() == report));
    BOOST_TEST(!usageReportFromJson("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
