#include "modules/report/request_timeline.h"

#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

namespace {

// Log lines as written by onyxnotch-entry, with some fields left out.
constexpr auto logText = R"(
{"time_ms":1000,"event":"configuration_in_force","instance":"n-1","version":4,"source":"peer"}
{"time_ms":2000,"event":"configuration_in_force","instance":"n-1","version":7,"source":"store"}
{"time_ms":2500,"event":"store_lost","instance":"n-1","kind":"endpoints"}
12.3 n-1 {"time_ms":5000,"event":"try_failed","instance":"n-1","request_id":"r-1","endpoint":"i-1","end":"stream_broken","try":1,"expected_ms":80,"ms":900,"events":10}
{"time_ms":5001,"event":"request","instance":"n-1","request_id":"r-1","route":"read","team":"t","endpoint":"i-1","choice":"home","expected_ms":80,"uncached_tokens":900,"waiting_tokens":0,"configuration":7,"tries":1,"status":200,"outcome":"stream_cut","ms":1551,"first_event_ms":201}
{"time_ms":4800,"event":"endpoint_listed","instance":"n-2","endpoint":"i-1","leaving":1}
{"time_ms":4801,"event":"endpoint_listed","instance":"n-1","endpoint":"i-1","leaving":1}
{"time_ms":5200,"event":"request","instance":"n-1","request_id":"r-2","route":"read","team":"t","endpoint":"","configuration":7,"tries":0,"status":429,"outcome":"team_limit","ms":0}
{"time_ms":99000,"event":"endpoint_gone","instance":"n-1","endpoint":"i-1"}
not a line of ours
{"time_ms":"soon","event":"request"}
)";

ParsedLog parsed()
{
    ParsedLog log;
    parseLog(logText, log);
    return log;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace

BOOST_AUTO_TEST_SUITE(RequestAccounts)

BOOST_AUTO_TEST_CASE(lines_that_cannot_be_parsed_are_counted)
{
    BOOST_TEST(parsed().lines.size() == 9U);
    BOOST_TEST(parsed().skipped == 2U);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_is_traced_to_its_endpoint)
{
    auto text = requestTimeline(parsed(), "r-1");
    BOOST_TEST(contains(text, "configuration_in_force version 7, from store"));
    BOOST_TEST(!contains(text, "version 4"));
    BOOST_TEST(contains(text, "store_lost"));
    BOOST_TEST(contains(text, "try 1 at i-1 ended: stream_broken after 900 ms (expected 80 ms), 10 events passed on"));
    BOOST_TEST(contains(text, "ended: stream_cut, status 200 after 1551 ms"));
    BOOST_TEST(contains(text, "-200 ms  n-2  i-1 leaving"));
    BOOST_TEST(!contains(text, "gone\n"));
    BOOST_TEST(contains(text, "was being taken away or died around then"));
}

BOOST_AUTO_TEST_CASE(a_refusal_by_the_team_limit_states_that_cause)
{
    auto text = requestTimeline(parsed(), "r-2");
    BOOST_TEST(contains(text, "status 429"));
    BOOST_TEST(contains(text, "Cause: Its team was at its limit"));
    BOOST_TEST(!contains(text, "i-1"));
}

BOOST_AUTO_TEST_CASE(a_refused_request_states_its_return_time_and_turn)
{
    ParsedLog log;
    parseLog(R"(
{"time_ms":1000,"event":"request","instance":"n-1","request_id":"r-1","status":503,"outcome":"no_room","retry_after_ms":640,"in_turn":0}
{"time_ms":1700,"event":"request","instance":"n-2","request_id":"r-2","status":200,"outcome":"streamed","retry_after_ms":-1,"in_turn":1}
)",
        log);
    auto refused = requestTimeline(log, "r-1");
    BOOST_TEST(contains(refused, "told to come back after 640 ms; had not come in its turn"));
    auto returned = requestTimeline(log, "r-2");
    BOOST_TEST(contains(returned, "came in its turn"));
    BOOST_TEST(!contains(returned, "told to come back"));
}

BOOST_AUTO_TEST_CASE(a_request_that_waited_shows_its_wait_and_place)
{
    ParsedLog log;
    parseLog(R"({"time_ms":5200,"event":"request","instance":"n-1","request_id":"r-1","status":503,"outcome":"no_place","ms":181,"queued_ms":180,"queue_place":3})", log);
    auto text = requestTimeline(log, "r-1");
    BOOST_TEST(contains(text, "waited 180 ms for a place; it was number 3 in the queue"));
    BOOST_TEST(contains(text, "Cause: No endpoint had a free place"));
}

// Operators must see whether a request was refused for its priority or for its team's share.
BOOST_AUTO_TEST_CASE(a_refusal_by_the_shared_level_states_level_and_reason)
{
    ParsedLog log;
    parseLog(R"({"time_ms":1,"event":"request","instance":"n-1","request_id":"r-3","status":503,"outcome":"team_share","priority":2,"admission_chance":0.25,"level_priority":1,"level_chance":0.5})", log);
    auto text = requestTimeline(log, "r-3");
    BOOST_TEST(contains(text, "chance of 0.25 at priority 2; the level was priority 1 with a chance of 0.50"));
    BOOST_TEST(contains(text, "more than its fair share"));
}

BOOST_AUTO_TEST_CASE(a_blocked_request_is_traced_to_the_endpoints_that_ended_under_it)
{
    ParsedLog log;
    parseLog(R"(
{"time_ms":1000,"event":"try_failed","instance":"n-1","request_id":"r-1","digest":"07-70","endpoint":"i-1","end":"broken","try":1}
{"time_ms":2000,"event":"try_failed","instance":"n-2","request_id":"r-2","digest":"07-70","endpoint":"i-2","end":"stream_broken","try":1}
{"time_ms":2500,"event":"try_failed","instance":"n-2","request_id":"r-9","digest":"07-71","endpoint":"i-9","end":"broken","try":1}
{"time_ms":3000,"event":"request_blocked","instance":"n-2","digest":"07-70","ended_endpoints":3,"round":0}
{"time_ms":4000,"event":"request","instance":"n-1","request_id":"r-4","digest":"07-70","route":"read","team":"t","tries":0,"status":503,"outcome":"blocked","ms":0}
)",
        log);
    auto text = requestTimeline(log, "r-4");
    BOOST_TEST(contains(text, "the same request, as r-1, ended at i-1: broken"));
    BOOST_TEST(contains(text, "the same request, as r-2, ended at i-2: stream_broken"));
    BOOST_TEST(contains(text, "is blocked, after 3 endpoints ended under it"));
    BOOST_TEST(!contains(text, "i-9"));
    BOOST_TEST(contains(text, "Cause: Endpoints have ended under this same request"));
}

BOOST_AUTO_TEST_CASE(a_refusal_due_to_backoff_is_traced_to_the_endpoints_that_requested_it)
{
    ParsedLog log;
    parseLog(R"(
{"time_ms":1000,"event":"endpoint_notice","instance":"n-1","request_id":"r-1","endpoint":"i-1","status":503,"leaves":0,"rest_ms":500}
{"time_ms":1200,"event":"endpoint_notice","instance":"n-1","request_id":"r-2","endpoint":"i-2","status":503,"leaves":0,"rest_ms":3000}
{"time_ms":1300,"event":"endpoint_notice","instance":"n-2","request_id":"r-3","endpoint":"i-3","status":503,"leaves":0,"rest_ms":3000}
{"time_ms":1400,"event":"endpoint_notice","instance":"n-1","request_id":"r-4","endpoint":"i-4","status":200,"leaves":1,"rest_ms":-1}
{"time_ms":2000,"event":"request","instance":"n-1","request_id":"r-5","route":"read","team":"t","tries":0,"status":503,"outcome":"endpoints_rest","ms":0}
)",
        log);
    auto text = requestTimeline(log, "r-5");
    BOOST_TEST(contains(text, "i-2 turned the node away and wants nothing from it for 3000 ms"));
    for (const auto* other : { "i-1", "i-3", "i-4" })
        BOOST_TEST(!contains(text, other));
    BOOST_TEST(contains(text, "Cause: Every endpoint of the service that could run it had turned this node away"));
}

BOOST_AUTO_TEST_CASE(an_unknown_request_id_gives_an_empty_timeline) { BOOST_TEST(requestTimeline(parsed(), "r-3").empty()); }

BOOST_AUTO_TEST_CASE(a_refusal_due_to_advertised_limits_lists_the_limits)
{
    ParsedLog log;
    parseLog(R"({"time_ms":1000,"event":"endpoint_limit","instance":"n-1","request_id":"r-1","endpoint":"i-1","per_s":4.0}
{"time_ms":1500,"event":"endpoint_limit","instance":"n-2","request_id":"r-2","endpoint":"i-1","per_s":0.5}
{"time_ms":1200,"event":"endpoint_limit","instance":"n-2","request_id":"r-3","endpoint":"i-2","per_s":2.0}
{"time_ms":1300,"event":"endpoint_limit","instance":"n-2","request_id":"r-4","endpoint":"i-2","per_s":-1.0}
{"time_ms":2000,"event":"request","instance":"n-1","request_id":"r-5","route":"read","team":"t","tries":0,"status":503,"outcome":"endpoints_limited","ms":0}
{"time_ms":2500,"event":"endpoint_limit","instance":"n-2","request_id":"r-6","endpoint":"i-1","per_s":9.0}
)",
        log);
    auto text = requestTimeline(log, "r-5", {});
    BOOST_TEST(text.find("i-1 takes 0.5 a second") != std::string::npos);
    BOOST_TEST(text.find("i-2 takes") == std::string::npos);
    BOOST_TEST(text.find("9.0") == std::string::npos);
    BOOST_TEST(text.find("used up for the moment") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
