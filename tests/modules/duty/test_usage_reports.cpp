#include "modules/duty/usage_reports.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(UsageReportsTests)

BOOST_AUTO_TEST_CASE(a_window_is_due_when_its_counts_have_settled)
{
    UsageReports reports({ .windowMilliseconds = 5000, .settleMilliseconds = 1000 });
    WindowCounts usage { { 3, { { "t", 4 } } } };
    BOOST_TEST(!reports.due(usage, 20999).has_value());
    BOOST_TEST((reports.due(usage, 21000) == UsageReport { .window = 3, .counts = { { "t", 4 } } }));
}

// Found by the bench: a new holder of 77 nodes reported in its first second what a third of them had told it.
BOOST_AUTO_TEST_CASE(a_new_holder_hears_the_nodes_before_it_decides_but_is_not_late)
{
    UsageReports reports({ .windowMilliseconds = 5000, .settleMilliseconds = 1000, .gatherMilliseconds = 4000, .dueMilliseconds = 10000, .dueMarginMilliseconds = 1000 });
    WindowCounts usage { { 3, { { "t", 4 } } } };
    // Taken over two seconds after the window's end.
    reports.adopt(std::nullopt, 22000);
    BOOST_TEST(!reports.due(usage, 25999).has_value());
    BOOST_TEST(reports.due(usage, 26000).has_value());
    // Taken over seven seconds after it: there is no time to hear all.
    reports.adopt(std::nullopt, 27000);
    BOOST_TEST(!reports.due(usage, 28999).has_value());
    BOOST_TEST(reports.due(usage, 29000).has_value());
}

BOOST_AUTO_TEST_CASE(what_was_decided_is_sent_before_anything_else_is_decided)
{
    UsageReports reports;
    WindowCounts usage { { 3, { { "t", 4 } } }, { 4, { { "t", 5 } } } };
    auto first = reports.due(usage, 1000000);
    BOOST_REQUIRE(first.has_value());
    reports.decided(*first);
    BOOST_TEST(!reports.due(usage, 1000000).has_value());
    BOOST_TEST((reports.toSend() == first));
    reports.sent();
    BOOST_TEST(reports.due(usage, 1000000)->window == 4U);
}

BOOST_AUTO_TEST_CASE(a_successor_repeats_what_stands_and_never_decides_it_anew)
{
    UsageReports reports;
    reports.adopt(UsageReport { .window = 3, .counts = { { "t", 4 } } }, 0);
    // This node has heard of other counts meanwhile.
    WindowCounts usage { { 3, { { "t", 9 } } }, { 4, { { "t", 5 } } } };
    BOOST_TEST(reports.toSend()->counts.at("t") == 4U);
    reports.sent();
    BOOST_TEST(reports.due(usage, 1000000)->window == 4U);
}

BOOST_AUTO_TEST_CASE(the_stored_form_can_be_read_back)
{
    UsageReport report { .window = 7, .counts = { { "a", 1 }, { "b", 2 } } };
    auto read = usageReportFromJson(usageReportToJson(report));
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((read.value() == report));
    BOOST_TEST(!usageReportFromJson("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
