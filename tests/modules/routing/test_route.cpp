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

BOOST_AUTO_TEST_CASE(the_cheapest_candidate_that_meets_the_objective_is_chosen)
{
    RouteRequest request { .promptTokens = 100, .expectedTokens = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("dear", 4, Market::OnDemand), candidateOf("cheap", 1, Market::Reclaimable) };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    candidates[1].load.backlogTokens = 400000;
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 0);
}

BOOST_AUTO_TEST_CASE(long_requests_go_to_the_instance_that_cannot_be_reclaimed)
{
    RouteOptions options { .reclaimsPerHour = 6, .recomputeWeight = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("steady", 1.5, Market::OnDemand), candidateOf("reclaimable", 1, Market::Reclaimable) };
    RouteRequest shortRequest { .promptTokens = 50, .expectedTokens = 10 };
    RouteRequest longRequest { .promptTokens = 4000, .expectedTokens = 4000 };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, shortRequest, options).candidate, 1);
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, longRequest, options).candidate, 0);
}

BOOST_AUTO_TEST_CASE(the_fastest_candidate_is_chosen_if_none_meets_the_objective)
{
    RouteRequest request { .promptTokens = 100000, .expectedTokens = 20 };
    std::vector<RouteCandidate> candidates { candidateOf("a", 1, Market::OnDemand, 900), candidateOf("b", 9, Market::OnDemand, 3) };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    BOOST_CHECK(!chooseEndpoint({}, request, {}).candidate);
}

BOOST_AUTO_TEST_CASE(a_request_is_timely_within_its_objective_or_at_an_idle_engine)
{
    RouteOptions options { .prefillTokensPerSecond = 1000, .batchSlots = 16, .tokenSeconds = 0.01 };
    RouteRequest shortRequest { .promptTokens = 100 };
    RouteRequest longRequest { .promptTokens = 2000 };
    auto idle = candidateOf("idle", 1, Market::OnDemand);
    auto busy = candidateOf("busy", 1, Market::OnDemand, 12);
    BOOST_CHECK(isTimely(idle, shortRequest, options, 0.5));
    BOOST_CHECK(isTimely(busy, shortRequest, options, 0.5));
    // The prefill alone takes longer than the objective: only an engine with free slots and no backlog may start the request.
    BOOST_CHECK(isTimely(idle, longRequest, options, 0.5));
    BOOST_CHECK(!isTimely(busy, longRequest, options, 0.5));
    idle.load.backlogTokens = 5000;
    BOOST_CHECK(!isTimely(idle, shortRequest, options, 0.5));
}

BOOST_AUTO_TEST_CASE(a_cached_prefix_is_preferred_while_its_endpoint_is_timely)
{
    RouteRequest request { .promptTokens = 800, .expectedTokens = 12 };
    auto cachingCandidate = candidateOf("home", 1, Market::OnDemand, 8);
    cachingCandidate.load.prefixCached = true;
    cachingCandidate.load.backlogTokens = 200;
    std::vector<RouteCandidate> candidates { candidateOf("empty", 1, Market::OnDemand), cachingCandidate };
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 1);
    candidates[1].load.backlogTokens = 20000;
    BOOST_CHECK_EQUAL(*chooseEndpoint(candidates, request, {}).candidate, 0);
}

BOOST_AUTO_TEST_CASE(own_requests_are_added_until_a_report_includes_them)
{
    LoadTracker tracker;
    auto first = tracker.begin("e", 7, 100, 1);
    auto second = tracker.begin("e", 7, 100, 1);
    BOOST_CHECK_EQUAL(tracker.load("e", 7).addedSinceReport, 2);
    // The backlog is at most 200 tokens, less what the engine is assumed to have prefilled since.
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
