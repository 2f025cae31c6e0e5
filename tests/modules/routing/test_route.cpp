#include "modules/routing/load_tracker.h"
#include "tests/property.h"

using namespace Onyxnotch;

namespace {

RouteCandidate candidateOf(const std::string& id, double price, Market market, unsigned running = 0)
{
    return { .endpoint = { .id = id, .market = market, .pricePerHour = price }, .load = { .reportedRunning = running } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routing)

BOOST_AUTO_TEST_CASE(the_cheapest_that_meets_the_objective_is_chosen)
{
    RouteRequest request { .promptTokens = 100, .expectedTokens = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("dear", 4, Market::OnDemand), candidateOf("cheap", 1, Market::Reclaimable) };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    candidates[1].load.backlogTokens = 400000;
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 0);
}

BOOST_AUTO_TEST_CASE(long_work_goes_to_the_steadier_instance)
{
    RouteOptions options { .reclaimsPerHour = 6, .recomputeWeight = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("steady", 1.5, Market::OnDemand), candidateOf("reclaimable", 1, Market::Reclaimable) };
    RouteRequest shortOne { .promptTokens = 50, .expectedTokens = 10 };
    RouteRequest longOne { .promptTokens = 4000, .expectedTokens = 4000 };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, shortOne, options).candidate, 1);
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, longOne, options).candidate, 0);
}

BOOST_AUTO_TEST_CASE(the_fastest_is_chosen_where_none_meets_the_objective)
{
    RouteRequest request { .promptTokens = 100000, .expectedTokens = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("a", 1, Market::OnDemand, 900), candidateOf("b", 9, Market::OnDemand, 3) };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    BOOST_CHECK(!chooseEndpoint({}, request, {}).candidate);
}

BOOST_AUTO_TEST_CASE(a_request_is_timely_within_its_objective_or_where_there_is_room)
{
    RouteOptions options { .prefillTokensPerSecond = 1000, .batchSlots = 16, .tokenSeconds = 0.01 };
    RouteRequest shortOne { .promptTokens = 100 };
    RouteRequest longOne { .promptTokens = 2000 };
    auto idle = candidateOf("idle", 1, Market::OnDemand);
    auto busy = candidateOf("busy", 1, Market::OnDemand, 12);
    BOOST_CHECK(isTimely(idle, shortOne, options, 0.5));
    BOOST_CHECK(isTimely(busy, shortOne, options, 0.5));
    // It takes longer than its objective by itself: only an engine with room begins it.
    BOOST_CHECK(isTimely(idle, longOne, options, 0.5));
    BOOST_CHECK(!isTimely(busy, longOne, options, 0.5));
    idle.load.backlogTokens = 5000;
    BOOST_CHECK(!isTimely(idle, shortOne, options, 0.5));
}

BOOST_AUTO_TEST_CASE(a_prefix_stays_at_its_home_while_that_is_timely)
{
    RouteRequest request { .promptTokens = 800, .expectedTokens = 12 };
    auto home = candidateOf("home", 1, Market::OnDemand, 8);
    home.load.prefixCached = true;
    home.load.backlogTokens = 200;
    std::vector<RouteCandidate> candidates { candidateOf("empty", 1, Market::OnDemand), home };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    candidates[1].load.backlogTokens = 20000;
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 0);
}

BOOST_AUTO_TEST_CASE(own_requests_count_until_the_report_has_seen_them)
{
    LoadTracker tracker;
    auto first = tracker.begin("e", 7, 100, 1);
    auto second = tracker.begin("e", 7, 100, 1);
    BOOST_CHECK_EQUAL(tracker.load("e", 7).addedSinceReport, 2);
    // Less what the engine has prefilled since.
    BOOST_CHECK_GT(tracker.load("e", 7).backlogTokens, 0);
    BOOST_CHECK_LE(tracker.load("e", 7).backlogTokens, 200);
    BOOST_CHECK(tracker.load("e", 7).prefixCached);
    BOOST_CHECK(!tracker.load("e", 8).prefixCached);
    tracker.report("e", { .running = 2 });
    BOOST_CHECK_EQUAL(tracker.load("e", 7).addedSinceReport, 0);
    first = {};
    second = {};
    BOOST_CHECK_EQUAL(tracker.load("e", 7).ownInFlight, 0);
}

BOOST_AUTO_TEST_SUITE_END()
