// How one roll-out goes on: which part of a service's requests its new version gets, and when it is completed or reverted. A pure state
// machine with the time passed in; belongs to the node that holds the duties.
#pragma once

#include "core/clock.h"
#include "modules/rollout/rollout_judge.h"
#include <string_view>

namespace Onyxnotch {

enum class RampKind {
    Constant, // A fixed part of the share that a bad version may get.
    Even, // The same, with the requests that it may get beyond the share spread over the time to the deadline.
    Budget, // As much as what it may get in all still allows: faster at the start, and then nothing is left to see whether it turns bad.
};

struct RolloutPlanOptions {
    double canaryShare { 0.1 }; // Of a service's requests, that a bad version may get between the order and its deadline,
    double canarySlack { 50 }; // and so many more.
    RampKind ramp { RampKind::Even };
    double usedPart { 0.6 }; // Of that; the rest is for what was sent and has not been heard of yet.
    double harmlessPart { 0.9 }; // The same of a version that gets everything from now to the deadline: what comes is known by its rate.
    double highestShare { 0.3 }; // Before the verdict. Above it, a second of late news could use the allowance up.
    Milliseconds leastWatch { 2000 }; // A version is looked at for so long before it gets everything, however many answers it gave.
    // Before the deadline, traffic has to have moved: longer than nearly all streams take, and news of their ends.
    Milliseconds shiftTime { 7000 };
    double shiftPart { 0.35 }; // Of a longer roll-out's time: the rest goes to looking for versions that turn bad later.
    Milliseconds shiftSettles { 2500 }; // After which every node has heard that the old version gets nothing more, and has been heard of since.
};

enum class RolloutStage {
    Waiting, // For endpoints of the version.
    Trial,
    Shifting, // All requests go to the new version; those that run at the old one end.
    Completed,
    Reverted,
};

std::string_view nameOf(RolloutStage);

struct RolloutInput {
    Milliseconds left { 0 }; // To the deadline; negative after it.
    Milliseconds duration { 0 }; // From the order to the deadline.
    unsigned targetReady { 0 }; // Endpoints.
    unsigned othersListed { 0 };
    RolloutVerdict verdict { RolloutVerdict::Open };
    double sentToTarget { 0 }; // Requests since the versions have run side by side,
    double sentInAll { 0 };
    double perSecond { 0 }; // Requests of the service.
    std::uint32_t runningOnOthers { 0 };
};

struct RolloutDecision {
    RolloutStage stage { RolloutStage::Waiting };
    double share { 0 };
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
    RolloutDecision enter(RolloutStage, SteadyTime now, std::string_view reason);
    RolloutDecision trial(const RolloutInput&, SteadyTime now);
    RolloutDecision shift(const RolloutInput&, SteadyTime now);
    double trialShare(const RolloutInput&) const;
    double allowance(const RolloutInput&) const;

    RolloutPlanOptions m_options;
    RolloutStage m_stage { RolloutStage::Waiting };
    SteadyTime m_since {};
};

} // namespace Onyxnotch
