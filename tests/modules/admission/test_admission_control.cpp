#include "modules/admission/admission_control.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(Admission)

BOOST_AUTO_TEST_CASE(a_bucket_gives_its_rate_and_says_when_to_come_back)
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

BOOST_AUTO_TEST_CASE(a_bucket_never_gives_more_than_rate_and_burst)
{
    Tests::checkProperty("bounded", [](const std::vector<unsigned char>& gaps) {
        auto now = SteadyTime();
        auto start = now;
        TokenBucket bucket(10, now);
        unsigned taken = 0;
        for (auto gap : gaps) {
            now += Milliseconds(gap);
            taken += bucket.take(now) ? 0 : 1;
        }
        auto seconds = std::chrono::duration<double>(now - start).count();
        RC_ASSERT(taken <= 10 + 10 * seconds + 1e-6);
    });
}

BOOST_AUTO_TEST_CASE(limits_hold_and_room_is_kept_for_higher_priorities)
{
    AdmissionControl control({ .maximumActive = 10, .reservedForHigherPriority = 2 });
    auto now = SteadyTime();
    BOOST_CHECK(!control.admit({ .team = "t", .active = 7 }, now));
    auto refused = control.admit({ .team = "t", .active = 8 }, now);
    BOOST_REQUIRE(refused);
    BOOST_CHECK_GT(refused->retryAfter.count(), 0);
    BOOST_CHECK(!control.admit({ .team = "t", .priority = 1, .active = 9 }, now));
    BOOST_CHECK(control.admit({ .team = "t", .priority = 1, .active = 10 }, now));
    // A team's rate is divided over the nodes.
    BOOST_CHECK(!control.admit({ .team = "r", .teamRatePerSecond = 4, .nodes = 4 }, now));
    BOOST_CHECK(control.admit({ .team = "r", .teamRatePerSecond = 4, .nodes = 4 }, now));
}

BOOST_AUTO_TEST_CASE(retries_are_a_part_of_the_requests)
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
