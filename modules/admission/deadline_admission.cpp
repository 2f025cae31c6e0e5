#include "modules/admission/deadline_admission.h"

#include <algorithm>

namespace Onyxnotch {

bool canBeOnTime(const DeadlineRequest& request, const DeadlineAdmissionOptions& options)
{
    auto expectedWait = request.expectedSeconds - request.unqueuedSeconds;
    auto allowedWait = std::max(request.objectiveSeconds - request.unqueuedSeconds, request.objectiveSeconds * options.minWaitShare);
    if (expectedWait > allowedWait)
        return false;
    // Only the shortest wait of the service indicates a shortage. A longer wait at the selected endpoint may have been accepted because
    // that endpoint has the largest part of the prompt cached.
    auto sharedWait = request.moreUrgent > 0 ? std::min(allowedWait, request.moreUrgentObjectiveSeconds) : allowedWait;
    return request.leastWaitSeconds <= sharedWait / (1 + request.moreUrgent);
}

} // namespace Onyxnotch
