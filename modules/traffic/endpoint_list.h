// The endpoints as the platform's list tells them, as immutable values.
#pragma once

#include "core/clock.h"
#include "core/net/address.h"
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Onyxnotch {

// One life of an endpoint: a restart has another id.
struct ListedEndpoint {
    std::string id {};
    std::string service {};
    Address address {};
    std::string zone {};
    unsigned slots { 1 };
    bool leaving { false };
    bool reclaimable { false }; // It may be taken away with little notice.
    std::optional<Milliseconds> leavesIn {}; // From when the entry was read, where the platform said so.

    bool operator==(const ListedEndpoint&) const = default;
};

struct EndpointList {
    std::uint64_t revision { 0 }; // Of the platform's store.
    std::map<std::string, ListedEndpoint> endpoints {}; // By id; those that have gone are left out.

    bool operator==(const EndpointList&) const = default;
};

} // namespace Onyxnotch
