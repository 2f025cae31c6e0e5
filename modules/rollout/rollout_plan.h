// Decides, for one rollout, which share of the service's requests the new version receives and when the rollout is completed or reverted. A
// pure state machine without I/O; the time is passed in. Used by the node that holds the singleton duties.
#pragma once

#include "core/clock.h"
#include "modules/rollout/rollout_evaluator.h"
#include <string_view>

namespace Onyxnotch {

enum class RampKind {
    Constant, // A fixed fraction, usedAllowance, of canaryShare.
    Even, // Like Constant, with canarySlack requests spread evenly over the rollout's duration in addition.
    // All of the remaining allowance, about one second at a time. Faster at the start, but leaves no requests for detecting a version that
    // turns bad later.
    Budget,
};

struct RolloutPlanOptions {
    double canaryShare { 0.1 }; // Share of a service's requests that a bad version may receive between the order and the deadline.
    double canarySlack { 50 }; // Number of requests that a bad version may receive in addition.
    RampKind ramp { RampKind::Even };
    // Fraction of this allowance that the trial uses. The remainder covers requests that were sent but not yet reported.
    double usedAllowance { 0.6 };
    // Fraction of the allowance that may be used if the version receives all requests until the deadline. Higher than usedAllowance,
    // because the number of future requests is known from their rate.
    double shiftAllowance { 0.9 };
    // Largest share before the verdict. With a higher one, a second of update delay could exceed the allowance.
    double maximumTrialShare { 0.3 };
    // Minimum trial time before the version receives all requests, regardless of the number of answers.
    Milliseconds minimumTrialTime { 2000 };
    // The shift of all requests starts this long before the deadline, or earlier by shiftTimeShare. Long enough for nearly all streams to
    // end and for the updates that report their ends to arrive.
    Milliseconds shiftTime { 7000 };
    // For longer rollouts, the shift starts this fraction of the duration before the deadline if that is more than shiftTime. The time
    // before it serves to detect versions that turn bad later.
    double shiftTimeShare { 0.35 };
    // Time from the start of the shift until every node has received the new share and its counts have been received in turn.
    Milliseconds shiftSettleTime { 2500 };
};

enum class RolloutStage {
    Waiting, // Waiting for a ready endpoint of the new version.
    Trial, // The new version receives a limited share of the requests.
    Shifting, // All new requests go to the new version; requests running at the old version are completed.
    Completed,
    Reverted,
};

std::string_view nameOf(RolloutStage);

struct RolloutInput {
    Milliseconds timeLeft { 0 }; // Time until the deadline; negative after it.
    Milliseconds duration { 0 }; // Time from the order to the deadline.
    unsigned targetReady { 0 }; // Number of endpoints of the new version that are not draining.
    unsigned othersListed { 0 }; // Number of listed endpoints of other versions.
    RolloutVerdict verdict { RolloutVerdict::Open };
    double sentToTarget { 0 }; // Requests sent to the new version since the versions began to run side by side.
    double sentTotal { 0 }; // The same for all versions.
    double requestRate { 0 }; // Requests per second of the service.
    std::uint32_t runningAtOthers { 0 }; // Requests running at endpoints of other versions.
};

struct RolloutDecision {
    RolloutStage stage { RolloutStage::Waiting };
    double share { 0 }; // Share of the service's requests for the new version, 0 to 1.
    std::string_view reason {};

    bool operator==(const RolloutDecision&) const = default;
};

class RolloutPlan {
public:
    explicit RolloutPlan(const RolloutPlanOptions& options = {})
        : m_options(options)
    {
    }

    RolloutDecision step(const RolloutInput&, SteadyTime now);

private:
    RolloutDecision enterStage(RolloutStage, SteadyTime now, std::string_view reason);
    RolloutDecision stepTrial(const RolloutInput&, SteadyTime now);
    RolloutDecision stepShift(const RolloutInput&, SteadyTime now);
    double trialShare(const RolloutInput&) const;
    double allowance(const RolloutInput&) const;

    RolloutPlanOptions m_options;
    RolloutStage m_stage { RolloutStage::Waiting };
    SteadyTime m_stageSince {}; // When m_stage was entered.
};

} // namespace Onyxnotch
