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

RolloutDecision RolloutPlan::enter(RolloutStage stage, SteadyTime now, std::string_view reason)
{
    m_stage = stage;
    m_since = now;
    bool getsAll = stage == RolloutStage::Shifting || stage == RolloutStage::Completed;
    return { .stage = stage, .share = getsAll ? 1.0 : 0.0, .reason = reason };
}

RolloutDecision RolloutPlan::step(const RolloutInput& input, SteadyTime now)
{
    if (m_stage == RolloutStage::Completed || m_stage == RolloutStage::Reverted)
        return { .stage = m_stage, .share = m_stage == RolloutStage::Completed ? 1.0 : 0.0, .reason = "ended" };
    if (input.verdict == RolloutVerdict::Bad)
        return enter(RolloutStage::Reverted, now, "bad_version");
    if (m_stage == RolloutStage::Shifting)
        return shift(input, now);
    if (input.left.count() <= 0)
        return enter(RolloutStage::Reverted, now, "out_of_time");
    if (input.targetReady == 0) {
        m_stage = RolloutStage::Waiting;
        return { .stage = m_stage, .reason = "no_endpoint" };
    }
    if (m_stage == RolloutStage::Waiting)
        enter(RolloutStage::Trial, now, "endpoints_ready");
    return trial(input, now);
}

double RolloutPlan::allowance(const RolloutInput& input) const
{
    return m_options.usedPart * (m_options.canaryShare * input.sentInAll + m_options.canarySlack);
}

double RolloutPlan::trialShare(const RolloutInput& input) const
{
    auto left = allowance(input) - input.sentToTarget;
    if (left <= 0)
        return 0;
    if (m_options.ramp == RampKind::Constant)
        return m_options.usedPart * m_options.canaryShare;
    auto perSecond = std::max(1.0, input.perSecond);
    auto seconds = std::chrono::duration<double>(input.duration).count();
    if (m_options.ramp == RampKind::Even)
        return std::min(m_options.highestShare, m_options.usedPart * (m_options.canaryShare + m_options.canarySlack / (perSecond * seconds)));
    return std::clamp(left / perSecond, 0.0, m_options.highestShare);
}

RolloutDecision RolloutPlan::trial(const RolloutInput& input, SteadyTime now)
{
    auto shiftAt = std::max<Milliseconds>(m_options.shiftTime, std::chrono::duration_cast<Milliseconds>(input.duration * m_options.shiftPart));
    bool isTime = input.left <= shiftAt && now - m_since >= m_options.leastWatch;
    // All that comes before the deadline is within the allowance, so a version that cannot be judged harms no more than it may.
    auto toCome = input.perSecond * static_cast<double>(input.left.count()) / 1000;
    bool isHarmless = input.sentToTarget + toCome <= m_options.harmlessPart * (m_options.canaryShare * (input.sentInAll + toCome) + m_options.canarySlack);
    if (input.othersListed == 0)
        return enter(RolloutStage::Shifting, now, "only_version");
    if (isTime && input.verdict == RolloutVerdict::Good)
        return enter(RolloutStage::Shifting, now, "good_version");
    if (isTime && isHarmless)
        return enter(RolloutStage::Shifting, now, "little_traffic");
    return { .stage = m_stage, .share = trialShare(input), .reason = "trial" };
}

// The old endpoints stop at once when it is said that the roll-out is completed, so nothing may run there any more.
RolloutDecision RolloutPlan::shift(const RolloutInput& input, SteadyTime now)
{
    if (now - m_since >= m_options.shiftSettles && input.runningOnOthers == 0)
        return enter(RolloutStage::Completed, now, "all_moved");
    return { .stage = m_stage, .share = 1, .reason = "requests_running_at_old_version" };
}

} // namespace Onyxnotch
