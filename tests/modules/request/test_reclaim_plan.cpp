#include "modules/request/reclaim_plan.h"
#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(ReclaimPlans)

BOOST_AUTO_TEST_CASE(time_left_and_remaining_work_decide_the_action)
{
    ReclaimOptions options { .tokenSeconds = 0.1, .transferTokensPerSecond = 1000, .transferSetupSeconds = 0.1, .safetyFactor = 2 };
    auto actionFor = [&](long milliseconds, unsigned context, unsigned remaining) {
        return planReclaim({ .timeLeft = Milliseconds(milliseconds), .contextTokens = context, .remainingTokens = remaining }, options).action;
    };
    BOOST_CHECK(actionFor(2000, 500, 10) == ReclaimAction::Stay);
    BOOST_CHECK(actionFor(2000, 500, 100) == ReclaimAction::TransferCache);
    BOOST_CHECK(actionFor(1000, 5000, 100) == ReclaimAction::PrefillAgain);
    BOOST_CHECK(actionFor(0, 10, 1) == ReclaimAction::PrefillAgain);
}

BOOST_AUTO_TEST_CASE(less_time_never_makes_the_plan_slower)
{
    Tests::checkProperty("monotonic in time", [](unsigned char context, unsigned char remaining, unsigned short time) {
        ReclaimSituation situation { .timeLeft = Milliseconds(time), .contextTokens = context * 1000U, .remainingTokens = remaining };
        auto later = situation;
        later.timeLeft += Milliseconds(500);
        RC_ASSERT(planReclaim(situation, {}).action >= planReclaim(later, {}).action);
    });
}

BOOST_AUTO_TEST_SUITE_END()
