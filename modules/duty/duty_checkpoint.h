// State that the holder of the singleton duties stores in the duty lease, so that the next holder can resume from it. Decided usage reports
// and accepted scaling orders can't be read back from the platform. Converts the state to and from JSON.
#pragma once

#include "modules/duty/endpoint_scaler.h"
#include "modules/duty/usage_reports.h"

namespace Onyxnotch {

struct DutyCheckpoint {
    std::optional<UsageReport> report {}; // The last report whose counts were decided. The next holder sends exactly the same counts again.
    std::vector<ScalingCheckpoint> scaling {}; // One entry per service, as of the last accepted orders.

    bool operator==(const DutyCheckpoint&) const = default;
};

// An empty text, as in a new lease, decodes to an empty checkpoint. Malformed text returns InvalidArgument.
std::string dutyCheckpointToJson(const DutyCheckpoint&);
Result<DutyCheckpoint> dutyCheckpointFromJson(const std::string&);

} // namespace Onyxnotch
