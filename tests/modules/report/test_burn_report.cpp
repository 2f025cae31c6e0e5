#include "modules/report/burn_report.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

std::string line(unsigned long at, const std::string& outcome, long firstEvent, const std::string& route = "read")
{
    return nlohmann::json { { "time_ms", at }, { "event", "request" }, { "instance", "n" }, { "route", route }, { "team", "t" }, { "outcome", outcome }, { "first_event_ms", firstEvent }, { "ms", firstEvent }, { "objective_ms", 1000 } }.dump() + "\n";
}

ParsedLog parsed(const std::string& text)
{
    ParsedLog log;
    parseLog(text, log);
    return log;
}

} // namespace

BOOST_AUTO_TEST_SUITE(BurnReports)

BOOST_AUTO_TEST_CASE(late_refused_and_cut_requests_are_bad_and_exempt_ones_are_not_counted)
{
    std::string text;
    for (unsigned long n = 0; n < 16; ++n)
        text += line(1000000 + n, "streamed", 200);
    text += line(1000100, "streamed", 1500) + line(1000200, "no_endpoint", -1) + line(1000300, "stream_cut", 100) + line(1000400, "stream_cut", 100);
    text += line(1000500, "team_limit", -1) + line(1000600, "caller_left", -1) + line(1000700, "no_route", -1, "");
    auto report = burnReport(parsed(text));
    BOOST_REQUIRE(report.rows.size() == 1U);
    BOOST_TEST((report.rows[0].slow == BurnCounts { .counted = 20, .bad = 4 }));
    BOOST_TEST(report.rows[0].fastBurn == 4.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(report.rows[0].commonBadOutcome == "stream_cut");
}

BOOST_AUTO_TEST_CASE(an_ended_incident_burns_in_the_slow_window_only)
{
    auto report = burnReport(parsed(line(1000000, "stream_cut", 1) + line(2000000, "answered", 10)));
    BOOST_REQUIRE(report.rows.size() == 1U);
    BOOST_TEST(report.rows[0].fastBurn == 0);
    BOOST_TEST(report.rows[0].slowBurn == 10.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(report.plots.at("read").size() == 101U);
}

BOOST_AUTO_TEST_CASE(text_and_page_state_the_number_of_dropped_lines)
{
    auto log = parsed(line(1000, "answered", 10, "a<b") + R"({"time_ms":1000,"event":"request_lines_left_out","instance":"n","count":7})");
    auto report = burnReport(log);
    BOOST_TEST(report.droppedLines == 7U);
    BOOST_TEST(burnReportText(report).find("7 lines were left out") != std::string::npos);
    auto page = burnReportPage(report);
    BOOST_TEST(page.find("a&lt;b") != std::string::npos);
    BOOST_TEST(page.find("<svg") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(no_lines_make_an_empty_report) { BOOST_TEST((burnReport({}) == BurnReport {})); }

BOOST_AUTO_TEST_SUITE_END()
