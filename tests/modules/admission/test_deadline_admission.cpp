#include "modules/admission/deadline_admission.h"

#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(DeadlineAdmissions)

BOOST_AUTO_TEST_CASE(request_without_wait_is_admitted)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.1, .unqueuedSeconds = 0.1, .objectiveSeconds = 0.25 }));
    // A prompt that takes longer than the objective by itself is late whatever is decided, and its answer is still useful.
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 3, .unqueuedSeconds = 3, .objectiveSeconds = 0.25, .moreUrgent = 2, .moreUrgentObjectiveSeconds = 0.1 }));
}

BOOST_AUTO_TEST_CASE(request_that_waits_past_its_objective_is_refused)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.24, .unqueuedSeconds = 0.05, .objectiveSeconds = 0.25 }));
    BOOST_TEST(!canBeOnTime({ .expectedSeconds = 0.26, .unqueuedSeconds = 0.05, .objectiveSeconds = 0.25 }));
    BOOST_TEST(!canBeOnTime({ .expectedSeconds = 4, .unqueuedSeconds = 3, .objectiveSeconds = 0.25 }));
}

BOOST_AUTO_TEST_CASE(less_urgent_request_is_refused_first)
{
    DeadlineRequest request { .expectedSeconds = 0.15, .unqueuedSeconds = 0.05, .leastWaitSeconds = 0.1, .objectiveSeconds = 0.5, .moreUrgentObjectiveSeconds = 0.25 };
    BOOST_TEST(canBeOnTime(request));
    request.moreUrgent = 1;
    BOOST_TEST(canBeOnTime(request));
    // With two more urgent kinds, at most a third of their 0.25 s objective may be waited.
    request.moreUrgent = 2;
    BOOST_TEST(!canBeOnTime(request));
}

// Guards against refusing requests that would be on time at their selected endpoint although other endpoints are idle.
BOOST_AUTO_TEST_CASE(longer_wait_at_selected_endpoint_is_no_overload)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.2, .unqueuedSeconds = 0.05, .leastWaitSeconds = 0.01, .objectiveSeconds = 0.5, .moreUrgent = 2, .moreUrgentObjectiveSeconds = 0.25 }));
}

BOOST_AUTO_TEST_CASE(shorter_wait_or_higher_urgency_never_causes_refusal)
{
    Tests::checkProperty("monotonous", [](unsigned char unqueued, unsigned char wait, unsigned char objective, unsigned char moreUrgentKinds, unsigned char otherObjective) {
        auto seconds = [](unsigned char it) { return it / 100.0; };
        DeadlineRequest request { .expectedSeconds = seconds(unqueued) + seconds(wait), .unqueuedSeconds = seconds(unqueued), .leastWaitSeconds = seconds(wait) / 3, .objectiveSeconds = seconds(objective), .moreUrgent = moreUrgentKinds % 4U, .moreUrgentObjectiveSeconds = seconds(otherObjective) };
        if (!canBeOnTime(request))
            return true;
        auto sooner = request;
        sooner.expectedSeconds -= seconds(wait) / 2;
        sooner.leastWaitSeconds /= 2;
        auto moreUrgent = request;
        moreUrgent.moreUrgent = request.moreUrgent / 2;
        return canBeOnTime(sooner) && canBeOnTime(moreUrgent);
    });
}

BOOST_AUTO_TEST_SUITE_END()
