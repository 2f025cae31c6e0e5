// Selects the endpoints that one gateway routes requests to: a bounded subset, so that no gateway has to track the load of every endpoint.
#pragma once

#include "modules/replica/endpoint_catalog.h"
#include <string>
#include <vector>

namespace Onyxnotch {

// Returns at most `size` endpoints of each loaded model, chosen by rendezvous hashing (highest random weight) of node and endpoint id.
// Adding or removing an endpoint replaces at most one endpoint of a node's subset, and each endpoint is in the subsets of about the same
// number of nodes. A pure function.
std::vector<Endpoint> chooseSubset(const std::vector<Endpoint>&, const std::string& node, std::size_t size);

} // namespace Onyxnotch
