#include "modules/admission/admission_control.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(bucket_grants_its_rate_and_returns_time_of_next_token)
{
    auto now = SteadyTime();
    TokenBucket bucket(2, now);
    BOOST_CHECK(!bucket.take(now));
    BOOST_CHECK(!bucket.take(now));
    auto wait = bucket.take(now);
    BOOST_REQUIRE(wait);
    BOOST_CHECK_EQUAL(wait->count(), 500);
    BOOST_CHECK(!bucket.take(now + *wait));
    BOOST_CHECK(bucket.take(now + *wait));
}

BOOST_AUTO_TEST_CASE(bucket_never_exceeds_rate_and_burst)
{
    Tests::checkProperty("bounded", [](const std::vector<unsigned char>& gaps) {
        auto now = SteadyTime();
        auto start = now;
        TokenBucket bucket(10, now);
        unsigned grantedTokens = 0;
        for (auto gap : gaps) {
            now += Milliseconds(gap);
            grantedTokens += bucket.take(now) ? 0 : 1;
        }
        auto seconds = std::chrono::duration<double>(now - start).count();
        RC_ASSERT(grantedTokens <= 10 + 10 * seconds + 1e-6);
    });
}

BOOST_AUTO_TEST_CASE(node_and_team_limits_are_enforced_with_reserve_for_higher_priorities)
{
    AdmissionControl control({ .maximumActive = 10, .reservedForHigherPriority = 2 });
    auto now = SteadyTime();
    BOOST_CHECK(!control.admit({ .team = "t", .active = 7 }, now));
    auto refused = control.admit({ .team = "t", .active = 8 }, now);
    BOOST_REQUIRE(refused);
    BOOST_CHECK_GT(refused->retryAfter.count(), 0);
    BOOST_CHECK(!control.admit({ .team = "t", .priority = 1, .active = 9 }, now));
    BOOST_CHECK(control.admit({ .team = "t", .priority = 1, .active = 10 }, now));
    // A team's rate is divided evenly among the nodes.
    BOOST_CHECK(!control.admit({ .team = "r", .teamRatePerSecond = 4, .nodes = 4 }, now));
    BOOST_CHECK(control.admit({ .team = "r", .teamRatePerSecond = 4, .nodes = 4 }, now));
}

BOOST_AUTO_TEST_CASE(retries_are_limited_to_a_share_of_requests)
{
    RetryBudget budget(0.5, 1);
    BOOST_CHECK(budget.takeRetry());
    BOOST_CHECK(!budget.takeRetry());
    budget.onRequest();
    BOOST_CHECK(!budget.takeRetry());
    budget.onRequest();
    BOOST_CHECK(budget.takeRetry());
}

BOOST_AUTO_TEST_SUITE_END()
