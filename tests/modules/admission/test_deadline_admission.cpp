#include "modules/admission/deadline_admission.h"

#include "tests/property.h"

using namespace Onyxnotch;

BOOST_AUTO_TEST_SUITE(DeadlineAdmissions)

BOOST_AUTO_TEST_CASE(what_finds_nothing_waiting_is_taken)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.1, .unqueuedSeconds = 0.1, .objectiveSeconds = 0.25 }));
    // A prompt that takes longer than the objective by itself is late whatever is done, and its answer is worth something.
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 3, .unqueuedSeconds = 3, .objectiveSeconds = 0.25, .moreUrgent = 2, .moreUrgentObjectiveSeconds = 0.1 }));
}

BOOST_AUTO_TEST_CASE(what_would_be_late_by_waiting_is_refused)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.24, .unqueuedSeconds = 0.05, .objectiveSeconds = 0.25 }));
    BOOST_TEST(!canBeOnTime({ .expectedSeconds = 0.26, .unqueuedSeconds = 0.05, .objectiveSeconds = 0.25 }));
    BOOST_TEST(!canBeOnTime({ .expectedSeconds = 4, .unqueuedSeconds = 3, .objectiveSeconds = 0.25 }));
}

BOOST_AUTO_TEST_CASE(the_less_urgent_gives_way_first)
{
    DeadlineRequest request { .expectedSeconds = 0.15, .unqueuedSeconds = 0.05, .leastWaitSeconds = 0.1, .objectiveSeconds = 0.5, .moreUrgentObjectiveSeconds = 0.25 };
    BOOST_TEST(canBeOnTime(request));
    request.moreUrgent = 1;
    BOOST_TEST(canBeOnTime(request));
    // A third of the more urgent one's quarter of a second.
    request.moreUrgent = 2;
    BOOST_TEST(!canBeOnTime(request));
}

// Found by the bench: requests that were on time where they had been sent were refused, with idle endpoints beside.
BOOST_AUTO_TEST_CASE(a_wait_that_was_chosen_is_no_shortage)
{
    BOOST_TEST(canBeOnTime({ .expectedSeconds = 0.2, .unqueuedSeconds = 0.05, .leastWaitSeconds = 0.01, .objectiveSeconds = 0.5, .moreUrgent = 2, .moreUrgentObjectiveSeconds = 0.25 }));
}

BOOST_AUTO_TEST_CASE(a_shorter_wait_or_more_urgency_never_turns_a_yes_into_a_no)
{
    Tests::checkProperty("monotonous", [](unsigned char unqueued, unsigned char wait, unsigned char objective, unsigned char rank, unsigned char otherObjective) {
        auto seconds = [](unsigned char it) { return it / 100.0; };
        DeadlineRequest request { .expectedSeconds = seconds(unqueued) + seconds(wait), .unqueuedSeconds = seconds(unqueued), .leastWaitSeconds = seconds(wait) / 3, .objectiveSeconds = seconds(objective), .moreUrgent = rank % 4U, .moreUrgentObjectiveSeconds = seconds(otherObjective) };
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
