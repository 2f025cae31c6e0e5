#include "modules/control/store_objects.h"

namespace Onyxnotch {

std::string_view nameOf(StoreKind kind)
{
    switch (kind) {
    case StoreKind::Configuration:
        return "configuration";
    case StoreKind::Endpoints:
        return "endpoints";
    case StoreKind::Duties:
        return "duties";
    case StoreKind::Nodes:
        return "nodes";
    case StoreKind::Rollouts:
        return "rollouts";
    case StoreKind::BlockedRequests:
        return "blocked_requests";
    }
    return "";
}

} // namespace Onyxnotch
