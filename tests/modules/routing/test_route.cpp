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
    candidates[1].load.reportedQueued = 4000;
    candidates[1].load.typicalTokens = 100;
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

BOOST_AUTO_TEST_CASE(own_requests_count_until_the_report_has_seen_them)
{
    LoadTracker tracker;
    auto first = tracker.begin("e", 7, 100);
    auto second = tracker.begin("e", 7, 100);
    BOOST_CHECK_EQUAL(tracker.load("e", 7).startedSinceReport, 2);
    BOOST_CHECK(tracker.load("e", 7).prefixCached);
    BOOST_CHECK(!tracker.load("e", 8).prefixCached);
    tracker.report("e", { .running = 2 });
    BOOST_CHECK_EQUAL(tracker.load("e", 7).startedSinceReport, 0);
    first = {};
    second = {};
    BOOST_CHECK_EQUAL(tracker.load("e", 7).ownInFlight, 0);
}

BOOST_AUTO_TEST_SUITE_END()
