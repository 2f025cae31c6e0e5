// An operator's order to roll out another software version of a service, and its recorded state.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

enum class RolloutState {
    InProgress,
    Completed, // The platform stops the endpoints of the old version immediately.
    Reverted, // The endpoints of the new version are drained.
};

struct RolloutRecord {
    std::string version {}; // Target version of the order that this record belongs to.
    RolloutState state { RolloutState::InProgress };
    std::uint64_t orderedAt { 0 }; // Estimated time of the order in milliseconds since 1970, as agreed between the nodes.

    bool operator==(const RolloutRecord&) const = default;
};

struct RolloutOrder {
    std::string service {};
    std::string version {};
    Milliseconds duration { 0 }; // Time from the order until the rollout has to be completed or reverted.
    std::optional<RolloutRecord> record {}; // Empty if no state has been recorded.

    bool operator==(const RolloutOrder&) const = default;

    // Whether the state of this order has been recorded. A record with another version belongs to an earlier order.
    bool isRecorded() const { return record && record->version == version; }
};

} // namespace Onyxnotch
