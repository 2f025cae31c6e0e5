// Decides what to do with a stream whose engine is draining, from the time left and the cost of moving the stream. A pure function.
#pragma once

#include "core/clock.h"
#include <string>

namespace Onyxnotch {

enum class ReclaimAction {
    Stay, // Leave the stream where it is: it is expected to end before the engine does.
    TransferCache, // Another engine imports the KV cache and continues the stream; nothing is computed again.
    PrefillAgain, // Another engine prefills the prompt and the text generated so far, and continues.
};

std::string toString(ReclaimAction);

struct ReclaimSituation {
    Milliseconds timeLeft { 0 }; // Time until the engine ends.
    unsigned contextTokens { 0 }; // Prompt and text generated so far.
    unsigned remainingTokens { 0 }; // Maximum number of tokens still to be generated.
    double concurrentTransfers { 0 }; // Other streams that are moved off the same engine.

    bool operator==(const ReclaimSituation&) const = default;
};

struct ReclaimOptions {
    double tokenSeconds { 0.079 }; // Time between two tokens: the longest that the objective allows.
    double transferTokensPerSecond { 200000 }; // Transfer rate of KV cache between engines, in tokens of context.
    double transferSetupSeconds { 0.05 }; // Fixed time of one transfer.
    bool isMoveAllowed { true }; // If false, always prefill again: a baseline for measurements.
    double safetyFactor { 1.5 }; // Factor by which every estimated time is multiplied.
};

struct ReclaimDecision {
    ReclaimAction action { ReclaimAction::Stay };
    std::string reason {};

    bool operator==(const ReclaimDecision&) const = default;
};

ReclaimDecision planReclaim(const ReclaimSituation&, const ReclaimOptions&);

} // namespace Onyxnotch
