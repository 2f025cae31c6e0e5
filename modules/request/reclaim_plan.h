// What to do with a stream whose engine is leaving: a pure decision from the time left and the work at stake.
#pragma once

#include "core/clock.h"
#include <string>

namespace Onyxnotch {

enum class ReclaimAction {
    Stay, // The stream ends before the engine does.
    TransferCache, // Another engine takes the KV cache over and goes on; nothing is computed again.
    PrefillAgain, // Another engine prefills the prompt and the text so far.
};

std::string toString(ReclaimAction);

struct ReclaimSituation {
    Milliseconds timeLeft { 0 }; // Until the engine ends.
    unsigned contextTokens { 0 }; // Prompt and text so far.
    unsigned remainingTokens { 0 }; // At most still to be generated.
    double transfersAhead { 0 }; // Other streams that leave the same engine.

    bool operator==(const ReclaimSituation&) const = default;
};

struct ReclaimOptions {
    double tokenSeconds { 0.079 }; // Between two tokens, at the worst that the objective allows.
    double transferTokensPerSecond { 200000 }; // KV cache over the network, as tokens.
    double transferSetupSeconds { 0.05 };
    bool movesAllowed { true }; // False: always prefill again, the baseline.
    double safety { 1.5 }; // Factor on every estimate.
};

struct ReclaimDecision {
    ReclaimAction action { ReclaimAction::Stay };
    std::string reason {};

    bool operator==(const ReclaimDecision&) const = default;
};

ReclaimDecision planReclaim(const ReclaimSituation&, const ReclaimOptions&);

} // namespace Onyxnotch
