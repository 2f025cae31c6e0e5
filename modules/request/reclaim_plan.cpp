#include "modules/request/reclaim_plan.h"

namespace Onyxnotch {

std::string toString(ReclaimAction action)
{
    switch (action) {
    case ReclaimAction::Stay:
        return "stay";
    case ReclaimAction::TransferCache:
        return "transfer_cache";
    case ReclaimAction::PrefillAgain:
        return "prefill_again";
    }
    return "prefill_again";
}

ReclaimDecision planReclaim(const ReclaimSituation& situation, const ReclaimOptions& options)
{
    if (!options.isMoveAllowed)
        return { .action = ReclaimAction::PrefillAgain, .reason = "settings allow nothing else" };
    double secondsLeft = std::chrono::duration<double>(situation.timeLeft).count();
    double secondsToFinish = options.safetyFactor * situation.remainingTokens * options.tokenSeconds;
    if (secondsToFinish <= secondsLeft)
        return { .action = ReclaimAction::Stay, .reason = "the rest of the answer takes less time than is left" };
    double transferSeconds = options.transferSetupSeconds + situation.contextTokens / options.transferTokensPerSecond;
    if (options.safetyFactor * transferSeconds * (1 + situation.concurrentTransfers) <= secondsLeft)
        return { .action = ReclaimAction::TransferCache, .reason = "the KV cache can be moved in the time left" };
    return { .action = ReclaimAction::PrefillAgain, .reason = "too little time is left to move the KV cache" };
}

} // namespace Onyxnotch
