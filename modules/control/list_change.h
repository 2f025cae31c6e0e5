// Computes the difference between two consecutive lists of endpoints and writes it to the log.
#pragma once

#include "modules/traffic/endpoint_list.h"
#include <cstdint>
#include <string_view>
#include <vector>

namespace Onyxnotch {

struct EndpointListChange {
    std::vector<ListedEndpoint> updated {}; // Endpoints that are new, were restarted, or whose leaving mark changed.
    std::vector<ListedEndpoint> removed {}; // Endpoints that are no longer listed.

    bool operator==(const EndpointListChange&) const = default;
};

// `before` is the previous list; null for the first one.
EndpointListChange endpointListChange(const EndpointList* before, const EndpointList&);

struct EndpointListOrigin {
    std::string_view source {}; // Where the list was received from: "store" or "peer".
    std::uint64_t revision { 0 }; // Of the store, as of the list.
    bool readsStore { false }; // This node follows the store itself instead of receiving lists from peers.
    Milliseconds age { 0 }; // Since a node read the oldest of the changes from the store.
};

// Logs one line with counts. Nodes that read the store themselves also log a line for each endpoint; when every node of a fleet of 295 did
// that, these lines were nearly the complete log, 120,000 lines in half a minute.
void logEndpointListChange(const EndpointListChange&, const EndpointList&, const EndpointListOrigin&);

} // namespace Onyxnotch
