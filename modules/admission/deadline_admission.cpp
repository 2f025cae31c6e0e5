#include "modules/admission/deadline_admission.h"

#include <algorithm>

namespace Onyxnotch {

bool canBeOnTime(const DeadlineRequest& request, const DeadlineAdmissionOptions& options)
{
    auto wait = request.expectedSeconds - request.unqueuedSeconds;
    auto spare = std::max(request.objectiveSeconds - request.unqueuedSeconds, request.objectiveSeconds * options.leastWaitPart);
    if (request.moreUrgent > 0)
        spare = std::min(spare, request.moreUrgentObjectiveSeconds);
    return wait <= spare / (1 + request.moreUrgent);
}

} // namespace Onyxnotch
