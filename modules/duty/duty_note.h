// What a holder of the duties leaves to the next one, kept in the lease: nothing that was decided or ordered can be read back from the
// platform.
#pragma once

#include "modules/duty/endpoint_scaler.h"
#include "modules/duty/usage_reports.h"

namespace Onyxnotch {

struct DutyNote {
    std::optional<UsageReport> report {}; // The last one that was decided; a successor repeats exactly this.
    std::vector<ScaleMemory> scaling {}; // By service, as of the last orders.

    bool operator==(const DutyNote&) const = default;
};

// Empty text stands for an empty note: the lease is new.
std::string dutyNoteToJson(const DutyNote&);
Result<DutyNote> dutyNoteFromJson(const std::string&);

} // namespace Onyxnotch
