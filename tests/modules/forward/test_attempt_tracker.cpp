#include "modules/forward/attempt_tracker.h"

#include <boost/test/unit_test.hpp>
#include <iostream>
#include <vector>

using namespace Onyxnotch;

namespace {

constexpr AttemptOutcome everyOutcome[] { AttemptOutcome::Delivered, AttemptOutcome::NotSent, AttemptOutcome::NoConnectionLeft, AttemptOutcome::Unwanted, AttemptOutcome::NotRun, AttemptOutcome::MayHaveRun, AttemptOutcome::FailedAnswer, AttemptOutcome::StreamBroken,
    AttemptOutcome::OutOfTime, AttemptOutcome::CallerLeft };

// Whether an attempt with this outcome sent no byte to an endpoint.
bool sentNothing(AttemptOutcome outcome) { return outcome == AttemptOutcome::NotSent || outcome == AttemptOutcome::NoConnectionLeft || outcome == AttemptOutcome::Unwanted; }

// Whether the endpoint may have executed the request in an attempt with this outcome.
bool mayHaveExecuted(AttemptOutcome outcome) { return !sentNothing(outcome) && outcome != AttemptOutcome::NotRun; }

// Explores every sequence of attempt outcomes that the state machine allows, with the retry budget granting or denying each retry.
class SequenceExplorer {
public:
    explicit SequenceExplorer(const AttemptTrackerOptions& options)
        : m_options(options)
    {
    }

    void run() { explore(AttemptTracker(m_options), 0, 0, 0); }
    unsigned long visited() const { return m_visited; }

private:
    void explore(const AttemptTracker& tracker, unsigned sent, unsigned executions, unsigned depth)
    {
        // The state machine must end every sequence before this depth.
        BOOST_REQUIRE_LT(depth, m_options.maximumExecutions + m_options.maximumRejections + m_options.maximumUnsent + 2);
        // The deadline may pass before the next attempt.
        auto timedOut = tracker;
        timedOut.onEnd(AttemptOutcome::OutOfTime);
        check(timedOut, executions, AttemptOutcome::OutOfTime);
        for (auto outcome : everyOutcome) {
            for (bool isRetryGranted : { true, false })
                applyOutcome(tracker, outcome, isRetryGranted, sent, executions, depth);
        }
    }

    void applyOutcome(AttemptTracker tracker, AttemptOutcome outcome, bool isRetryGranted, unsigned sent, unsigned executions, unsigned depth)
    {
        ++m_visited;
        if (!sentNothing(outcome)) {
            tracker.onSend();
            ++sent;
        }
        tracker.onEnd(outcome);
        executions += mayHaveExecuted(outcome) ? 1 : 0;
        BOOST_REQUIRE_LE(sent, m_options.maximumExecutions + m_options.maximumRejections);
        // At most as many endpoints as the route allows may have executed the request.
        BOOST_REQUIRE_LE(executions, m_options.maximumExecutions);
        if (!m_options.repeatable)
            BOOST_REQUIRE_LE(executions, 1U);
        check(tracker, executions, outcome);
        if (tracker.mayRetry([isRetryGranted] { return isRetryGranted; }))
            explore(tracker, sent, executions, depth + 1);
    }

    // A refusal ("not executed") is sent, and the team's charge refunded, only if no endpoint can have executed the request.
    void check(const AttemptTracker& tracker, unsigned executions, AttemptOutcome lastOutcome)
    {
        BOOST_REQUIRE_EQUAL(tracker.neverExecuted(), executions == 0);
        auto response = tracker.finalResponse(false);
        if (response == FinalResponse::Refusal)
            BOOST_REQUIRE_EQUAL(executions, 0U);
        if (executions == 0 && lastOutcome != AttemptOutcome::CallerLeft && lastOutcome != AttemptOutcome::Delivered)
            BOOST_REQUIRE(response == FinalResponse::Refusal);
        BOOST_REQUIRE(tracker.finalResponse(true) == FinalResponse::TruncatedStream);
    }

    AttemptTrackerOptions m_options;
    unsigned long m_visited { 0 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RequestFateTests)

BOOST_AUTO_TEST_CASE(every_sequence_of_attempts_ends_with_a_correct_final_response)
{
    unsigned long visited = 0;
    for (bool repeatable : { false, true }) {
        for (unsigned attempts = 1; attempts <= 4; ++attempts) {
            SequenceExplorer explorer({ .repeatable = repeatable, .maximumExecutions = attempts, .maximumRejections = 2, .maximumUnsent = 2 });
            explorer.run();
            visited += explorer.visited();
        }
    }
    std::cout << "request fate: " << visited << " states visited" << std::endl;
    BOOST_TEST(visited > 1000UL);
}

BOOST_AUTO_TEST_CASE(a_retry_denied_by_the_budget_ends_the_request)
{
    AttemptTracker tracker({ .repeatable = true, .maximumExecutions = 3 });
    tracker.onSend();
    tracker.onEnd(AttemptOutcome::NotRun);
    BOOST_TEST(!tracker.mayRetry([] { return false; }));
    BOOST_TEST((tracker.finalResponse(false) == FinalResponse::Refusal));
}

// Guards against refusing a request after one endpoint turned it away, while other endpoints are idle: an attempt that was not executed
// must not use up the only attempt that the route allows.
BOOST_AUTO_TEST_CASE(a_rejected_attempt_does_not_count_as_an_execution)
{
    AttemptTracker tracker({ .maximumExecutions = 1, .maximumRejections = 2 });
    auto grantRetry = [] { return true; };
    tracker.onSend();
    tracker.onEnd(AttemptOutcome::NotRun);
    BOOST_TEST(tracker.mayRetry(grantRetry));
    tracker.onSend();
    tracker.onEnd(AttemptOutcome::NotRun);
    BOOST_TEST(!tracker.mayRetry(grantRetry));
    AttemptTracker failed({ .repeatable = true, .maximumExecutions = 1 });
    failed.onSend();
    failed.onEnd(AttemptOutcome::NotRun);
    failed.onSend();
    failed.onEnd(AttemptOutcome::MayHaveRun);
    BOOST_TEST(!failed.mayRetry(grantRetry));
}

BOOST_AUTO_TEST_CASE(an_unsent_attempt_is_not_charged_to_the_retry_budget)
{
    AttemptTracker tracker({ .maximumExecutions = 1 });
    tracker.onEnd(AttemptOutcome::NotSent);
    BOOST_TEST(tracker.mayRetry([] { return false; }));
}

BOOST_AUTO_TEST_SUITE_END()
