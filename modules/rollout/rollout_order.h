// An operator's order to move a service to another version of its software, and what is recorded of it.
#pragma once

#include "core/clock.h"
#include <cstdint>
#include <optional>
#include <string>

namespace Onyxnotch {

enum class RolloutState {
    InProgress,
    Completed, // The endpoints of the old version are stopped at once.
    Reverted, // Those of the new one leave.
};

struct RolloutRecord {
    std::string version {}; // Of which order this is the record.
    RolloutState state { RolloutState::InProgress };
    std::uint64_t orderedAt { 0 }; // When the order was first seen, in milliseconds since 1970 as the nodes agree.

    bool operator==(const RolloutRecord&) const = default;
};

struct RolloutOrder {
    std::string service {};
    std::string version {};
    Milliseconds duration { 0 }; // In which it is to be completed or reverted.
    std::optional<RolloutRecord> record {}; // Empty where nothing has been recorded.

    bool operator==(const RolloutOrder&) const = default;

    // A record of another version belongs to an earlier order.
    bool isRecorded() const { return record && record->version == version; }
};

} // namespace Onyxnotch
