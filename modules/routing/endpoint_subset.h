// The endpoints that one gateway routes to: a bounded part of all, so that no node needs to know every endpoint's load.
#pragma once

#include "modules/replica/endpoint_catalog.h"
#include <string>
#include <vector>

namespace Onyxnotch {

// Of each loaded model at most `size` endpoints, by highest random weight over node and endpoint: a change of one endpoint changes at
// most one place of a node's part, and every endpoint is in the parts of about as many nodes. A pure function.
std::vector<Endpoint> chooseSubset(const std::vector<Endpoint>&, const std::string& node, std::size_t size);

} // namespace Onyxnotch
