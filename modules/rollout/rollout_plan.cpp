#include "modules/rollout/rollout_plan.h"

#include <algorithm>

namespace Onyxnotch {

std::string_view nameOf(RolloutStage stage)
{
    switch (stage) {
    case RolloutStage::Waiting:
        return "waiting";
    case RolloutStage::Trial:
        return "trial";
    case RolloutStage::Shifting:
        return "shifting";
    case RolloutStage::Completed:
        return "completed";
    case RolloutStage::Reverted:
        return "reverted";
    }
    return "";
}

RolloutDecision RolloutPlan::enterStage(RolloutStage stage, SteadyTime now, std::string_view reason)
{
    m_stage = stage;
    m_stageSince = now;
    bool getsAll = stage == RolloutStage::Shifting || stage == RolloutStage::Completed;
    return { .stage = stage, .share = getsAll ? 1.0 : 0.0, .reason = reason };
}

RolloutDecision RolloutPlan::step(const RolloutInput& input, SteadyTime now)
{
    if (m_stage == RolloutStage::Completed || m_stage == RolloutStage::Reverted)
        return { .stage = m_stage, .share = m_stage == RolloutStage::Completed ? 1.0 : 0.0, .reason = "ended" };
    if (input.verdict == RolloutVerdict::Bad)
        return enterStage(RolloutStage::Reverted, now, "bad_version");
    if (m_stage == RolloutStage::Shifting)
        return stepShift(input, now);
    if (input.timeLeft.count() <= 0)
        return enterStage(RolloutStage::Reverted, now, "out_of_time");
    if (input.targetReady == 0) {
        m_stage = RolloutStage::Waiting;
        return { .stage = m_stage, .reason = "no_endpoint" };
    }
    if (m_stage == RolloutStage::Waiting)
        enterStage(RolloutStage::Trial, now, "endpoints_ready");
    return stepTrial(input, now);
}

double RolloutPlan::allowance(const RolloutInput& input) const
{
    return m_options.usedAllowance * (m_options.canaryShare * input.sentTotal + m_options.canarySlack);
}

double RolloutPlan::trialShare(const RolloutInput& input) const
{
    auto left = allowance(input) - input.sentToTarget;
    if (left <= 0)
        return 0;
    if (m_options.ramp == RampKind::Constant)
        return m_options.usedAllowance * m_options.canaryShare;
    auto requestRate = std::max(1.0, input.requestRate);
    auto seconds = std::chrono::duration<double>(input.duration).count();
    if (m_options.ramp == RampKind::Even)
        return std::min(m_options.maximumTrialShare, m_options.usedAllowance * (m_options.canaryShare + m_options.canarySlack / (requestRate * seconds)));
    return std::clamp(left / requestRate, 0.0, m_options.maximumTrialShare);
}

RolloutDecision RolloutPlan::stepTrial(const RolloutInput& input, SteadyTime now)
{
    auto shiftAt = std::max<Milliseconds>(m_options.shiftTime, std::chrono::duration_cast<Milliseconds>(input.duration * m_options.shiftTimeShare));
    bool isShiftDue = input.timeLeft <= shiftAt && now - m_stageSince >= m_options.minimumTrialTime;
    // True if all requests expected until the deadline fit within the allowance. Shifting is then allowed without a verdict.
    auto expectedRequests = input.requestRate * static_cast<double>(input.timeLeft.count()) / 1000;
    bool isHarmless = input.sentToTarget + expectedRequests <= m_options.shiftAllowance * (m_options.canaryShare * (input.sentTotal + expectedRequests) + m_options.canarySlack);
    if (input.othersListed == 0)
        return enterStage(RolloutStage::Shifting, now, "only_version");
    if (isShiftDue && input.verdict == RolloutVerdict::Good)
        return enterStage(RolloutStage::Shifting, now, "good_version");
    if (isShiftDue && isHarmless)
        return enterStage(RolloutStage::Shifting, now, "little_traffic");
    return { .stage = m_stage, .share = trialShare(input), .reason = "trial" };
}

// The platform stops the old endpoints immediately once the rollout is recorded as completed, so no requests may still be running there.
RolloutDecision RolloutPlan::stepShift(const RolloutInput& input, SteadyTime now)
{
    if (now - m_stageSince >= m_options.shiftSettleTime && input.runningAtOthers == 0)
        return enterStage(RolloutStage::Completed, now, "all_moved");
    return { .stage = m_stage, .share = 1, .reason = "requests_running_at_old_version" };
}

} // namespace Onyxnotch
