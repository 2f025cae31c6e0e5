// Adds to an endpoint list which endpoints are draining according to themselves or to another node, where the store's entries do not show
// it yet.
#pragma once

#include "modules/traffic/endpoint_list.h"
#include <vector>

namespace Onyxnotch {

// Returns a copy of the list in which the incarnations in `leaving` are marked as draining, or the same list if none needs the mark.
std::shared_ptr<const EndpointList> withDrainingEndpoints(const std::shared_ptr<const EndpointList>&, const std::vector<EndpointIncarnation>& leaving);

} // namespace Onyxnotch
