#include "modules/admission/deadline_admission.h"

#include <algorithm>

namespace Onyxnotch {

bool canBeOnTime(const DeadlineRequest& request, const DeadlineAdmissionOptions& options)
{
    auto wait = request.expectedSeconds - request.unqueuedSeconds;
    auto spare = std::max(request.objectiveSeconds - request.unqueuedSeconds, request.objectiveSeconds * options.leastWaitPart);
    if (wait > spare)
        return false;
    // A long wait at one endpoint is no shortage: it may be where the least of the prompt has to be read.
    auto room = request.moreUrgent > 0 ? std::min(spare, request.moreUrgentObjectiveSeconds) : spare;
    return request.leastWaitSeconds <= room / (1 + request.moreUrgent);
}

} // namespace Onyxnotch
