#include "modules/balance/endpoint_choice.h"

#include "modules/balance/endpoint_health.h"
#include "modules/balance/prefix_cache.h"
#include "modules/balance/slot_time_model.h"
#include <boost/test/unit_test.hpp>

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(EndpointChoiceTests)

BOOST_AUTO_TEST_CASE(nothing_to_choose_from) { BOOST_TEST(!chooseEndpoint({}, {}, {}).has_value()); }

BOOST_AUTO_TEST_CASE(equal_candidates_are_chosen_by_rank_so_that_all_nodes_agree)
{
    std::vector<ChoiceCandidate> candidates { { .slots = 8, .rank = 3 }, { .slots = 8, .rank = 9 }, { .slots = 8, .rank = 5 } };
    BOOST_TEST(chooseEndpoint(candidates, {}, {})->candidate == 1U);
}

BOOST_AUTO_TEST_CASE(the_highest_ranked_candidate_wins_until_its_wait_exceeds_the_prefill_time)
{
    ChoiceOptions options { .fixedSeconds = 0, .secondsPerToken = 1.0 / 10000 };
    ChoiceRequest request { .promptTokens = 12000, .sharedTokens = 10000 };
    std::vector<ChoiceCandidate> candidates { { .slots = 64, .rank = 1 }, { .slots = 64, .rank = 2 } };
    candidates[1].waitingTokens = 9000;
    auto highestRanked = chooseEndpoint(candidates, request, options);
    BOOST_TEST(highestRanked->candidate == 1U);
    BOOST_TEST(highestRanked->reason == "home");
    BOOST_TEST(highestRanked->uncachedTokens == 2000);
    candidates[1].waitingTokens = 11000;
    auto other = chooseEndpoint(candidates, request, options);
    BOOST_TEST(other->candidate == 0U);
    BOOST_TEST(other->uncachedTokens == 12000);
}

BOOST_AUTO_TEST_CASE(a_full_endpoint_is_not_chosen)
{
    std::vector<ChoiceCandidate> candidates { { .slots = 4, .inFlight = 6, .rank = 9 }, { .slots = 4, .inFlight = 1, .rank = 1 } };
    BOOST_TEST(chooseEndpoint(candidates, {}, {})->candidate == 1U);
}

// Guards against a missing estimate of how long a slot is occupied, without which a queue for full slots counted as no wait.
BOOST_AUTO_TEST_CASE(a_wait_for_a_slot_is_weighed_against_a_prompt_that_waits)
{
    ChoiceOptions options { .fixedSeconds = 0, .secondsPerToken = 1.0 / 10000 };
    std::vector<ChoiceCandidate> candidates { { .slots = 10, .inFlight = 11, .rank = 9 }, { .slots = 10, .inFlight = 5, .waitingTokens = 1000, .rank = 1 } };
    BOOST_TEST(chooseEndpoint(candidates, { .promptTokens = 100, .slotSeconds = 0.1 }, options)->candidate == 0U);
    // With 11 in flight on ten slots, a new request is the second in the queue; a slot becomes free every fifth of a second.
    BOOST_TEST(chooseEndpoint(candidates, { .promptTokens = 100, .slotSeconds = 2 }, options)->candidate == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlotTimeModelTests)

BOOST_AUTO_TEST_CASE(a_change_is_learnt_within_200_requests)
{
    SlotTimeModel model;
    BOOST_TEST(model.seconds() == 0);
    for (int n = 0; n < 200; ++n)
        model.observe(0.1);
    BOOST_TEST(model.seconds() == 0.1, boost::test_tools::tolerance(1e-9));
    for (int n = 0; n < 200; ++n)
        model.observe(2);
    BOOST_TEST(model.seconds() == 2, boost::test_tools::tolerance(0.05));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PrefixCacheTests)

BOOST_AUTO_TEST_CASE(a_part_counts_only_behind_the_same_parts)
{
    PrefixCache cache;
    cache.touch({ { 1, 100 }, { 2, 50 } }, 1000);
    BOOST_TEST(cache.cachedTokens({ { 1, 100 }, { 2, 50 }, { 3, 10 } }) == 150);
    BOOST_TEST(cache.cachedTokens({ { 2, 50 } }) == 0);
    BOOST_TEST(cache.cachedTokens({ { 1, 100 }, { 3, 10 } }) == 100);
}

BOOST_AUTO_TEST_CASE(the_least_recently_used_parts_are_evicted)
{
    PrefixCache cache;
    cache.touch({ { 1, 100 } }, 250);
    cache.touch({ { 2, 100 } }, 250);
    cache.touch({ { 1, 100 } }, 250);
    cache.touch({ { 3, 100 } }, 250);
    BOOST_TEST(cache.cachedTokens({ { 1, 100 } }) == 100);
    BOOST_TEST(cache.cachedTokens({ { 2, 100 } }) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EndpointHealthTests)

BOOST_AUTO_TEST_CASE(failures_exclude_an_endpoint_for_a_limited_time)
{
    SteadyTime now { std::chrono::hours(1) };
    EndpointHealth health;
    for (int n = 0; n < 4; ++n)
        health.onFailure(now);
    BOOST_TEST(!health.isUsable(now));
    BOOST_TEST(health.isUsable(now + Milliseconds(10000)));
}

BOOST_AUTO_TEST_CASE(a_failure_rate_of_one_seventh_is_tolerated)
{
    SteadyTime now { std::chrono::hours(1) };
    EndpointHealth health;
    for (int n = 1; n < 300; ++n) {
        if (n % 7 == 0)
            health.onFailure(now);
        else
            health.onSuccess();
        BOOST_TEST(health.isUsable(now));
    }
}

BOOST_AUTO_TEST_CASE(an_unreachable_endpoint_is_excluded_after_two_attempts)
{
    SteadyTime now { std::chrono::hours(1) };
    EndpointHealth health;
    health.onUnreachable(now);
    BOOST_TEST(health.isUsable(now));
    health.onUnreachable(now);
    BOOST_TEST(!health.isUsable(now));
}

BOOST_AUTO_TEST_SUITE_END()
