// How a list of endpoints differs from the one before, and its lines in the log.
#pragma once

#include "modules/traffic/endpoint_list.h"
#include <cstdint>
#include <string_view>
#include <vector>

namespace Onyxnotch {

struct ListChange {
    std::vector<ListedEndpoint> listed {}; // New, in a new life, or leaving and not before.
    std::vector<ListedEndpoint> gone {};

    bool operator==(const ListChange&) const = default;
};

// `before` is null for the first list.
ListChange listChange(const EndpointList* before, const EndpointList&);

struct ListOrigin {
    std::string_view source {}; // "store", "peer".
    std::uint64_t revision { 0 }; // Of the store.
    bool readsStore { false }; // This node has read the store itself.
};

// One line with counts, and a line for each endpoint at nodes that read the store: from every node of a fleet of 295 these were nearly all
// of its log, 120,000 lines in half a minute.
void logListChange(const ListChange&, const EndpointList&, const ListOrigin&);

} // namespace Onyxnotch
